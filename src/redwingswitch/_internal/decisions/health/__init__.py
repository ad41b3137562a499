"""Health of backend servers, from a host's own observations and from the servers' reports."""
