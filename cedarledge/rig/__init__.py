"""Runs of the stand-in fleet: scenarios, relays as processes, comparisons, reports."""
