"""A fleet to try relays on: feed boxes, discovery, a front and clients, and a judge with books of its own."""
