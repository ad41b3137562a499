"""Stand-ins for the platform's store, its routers, backend servers and callers."""
