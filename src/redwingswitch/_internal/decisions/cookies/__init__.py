"""Steering of flows whose packets carry the identity of their backend server."""
