"""Which zones carry whose traffic, decided by a majority of named relays.

So far the vote alone, tried in the model; nothing uses it.
"""
