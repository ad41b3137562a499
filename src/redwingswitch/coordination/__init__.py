"""Coordination components for other programs, independent of daemons, sockets and clocks.

Each module covers one subject. Every component takes events and a monotonic ``now_ms``, and returns
actions for the caller to perform.
"""
