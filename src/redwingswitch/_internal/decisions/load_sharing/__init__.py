"""Decisions on the load that hosts observe, add up and use together."""
