"""Coordination parts for embedding, independent of the daemons and of sockets.

Each module covers one subject. Every part takes events and a monotonic ``now_ms`` and returns
actions for the embedder to carry out.
"""
