"""Decisions on whether a new flow is admitted, waits or is rejected while servers are short."""
