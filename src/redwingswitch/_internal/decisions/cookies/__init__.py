"""Steering of flows whose packets carry a cookie that identifies the backend server."""
