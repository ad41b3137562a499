"""Private implementation of redwingswitch; use ``redwingswitch.coordination`` instead."""
