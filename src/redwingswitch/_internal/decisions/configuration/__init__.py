"""Distribution of the operators' document from the store to every entry host."""
