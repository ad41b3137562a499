"""Sharing of the list of backend servers among the hosts of a failure domain.

One host, the reader, reads the list from the store and sends its changes to the others.
"""
