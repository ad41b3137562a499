"""Small helpers without knowledge of the product."""
