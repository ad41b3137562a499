"""Which entry hosts are alive."""
