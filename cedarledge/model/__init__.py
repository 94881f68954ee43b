"""Simulation of many state machines in virtual time over a simulated network with injected faults."""
