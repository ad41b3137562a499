"""Stand-ins of the platform, the fabric, backend servers and callers, for tests and the demo."""
