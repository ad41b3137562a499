"""Immutable models that the decision parts and the daemons exchange."""
