"""Emulated backends, discovery and clients that relays are tested against, and a judge that checks their
logs."""
