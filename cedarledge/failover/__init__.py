"""Zone failover: a majority of named relays decides which zones carry which traffic.

Only the decision exists so far, and is tested in the model; no relay uses it yet.
"""
