"""Test rig: scenarios on an emulated fleet, relays as processes, fault schedules, comparisons and reports."""
