"""Decision components: objects that take typed events and return typed actions, without I/O."""
