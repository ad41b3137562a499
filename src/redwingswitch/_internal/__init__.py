"""Private implementation of redwingswitch; import the public packages instead."""
