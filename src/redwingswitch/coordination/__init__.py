"""Coordination parts for embedding, independent of the daemons and of sockets."""
