"""Coordination parts for use in other programs, independent of the daemons, sockets and clocks.

Each module covers one subject. Every part takes events and a monotonic ``now_ms``, and returns
actions for the caller to perform.
"""
