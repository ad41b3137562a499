"""Sharing of the server list: one host of a failure domain reads it for the others."""
