"""Membership of a fleet: relays discover and monitor each other by gossip. Off unless the operator file
enables it."""
