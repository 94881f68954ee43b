"""Capacity planning: measurement runs, the curves fitted to them, and the tables of docs/CAPACITY.md."""
