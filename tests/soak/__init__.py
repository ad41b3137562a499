"""Randomized soak test: processes of the steering program under injected faults."""
