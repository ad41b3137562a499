"""The operators' file: parsing, checking, comparing and storing it."""
