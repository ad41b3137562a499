"""Adapters between sockets and the decision parts."""
