"""Faults of the machine that a process under test runs on, injected into that process alone."""
