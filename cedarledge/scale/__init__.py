"""Capacity planning: measurement runs, the slopes that they give, and the tables of docs/CAPACITY.md."""
