"""Steers flows by lookup tables, and by flow records where the tables do not suffice.

Routers may send any packet of a flow to any entry host, and every host has to choose the same
backend server. A lookup table assigns a server to each bucket of flow hashes. A bucket is displaced
when the tables before and after a change disagree on its server, or when its server is or was
ejected as unhealthy. Only flows in displaced buckets need records of their servers. One host, the
owner of the bucket, chooses and records these servers; another host, the replica, has a copy of the
records.
"""
