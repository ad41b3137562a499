"""Measurements of the decision parts; see docs/measurements.md."""
