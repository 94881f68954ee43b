"""Adapter between the simulator's protocol and the balancer; it makes no decisions itself."""
