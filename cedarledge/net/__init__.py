"""The relay on sockets, round the decision module; it decides nothing about tunnels itself."""
