"""Request handling of entry hosts; non-idempotent requests run at most once."""
