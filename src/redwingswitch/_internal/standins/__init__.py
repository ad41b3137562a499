"""Stand-ins for stores, the network fabric, backend servers and callers; for tests and the demo."""
