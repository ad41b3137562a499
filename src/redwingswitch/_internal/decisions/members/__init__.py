"""Membership: failure detection and gossip between entry hosts."""
