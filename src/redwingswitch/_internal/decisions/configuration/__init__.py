"""Distribution of the configuration document from the store to every entry host."""
