"""The relay's network side; decisions about requests are left to `cedarledge.policy`."""
