"""Stand-ins (test doubles) for the platform's store, backend servers and callers."""
