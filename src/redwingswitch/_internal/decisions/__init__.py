"""Decision parts: plain objects that take typed events and return typed actions, without I/O."""
