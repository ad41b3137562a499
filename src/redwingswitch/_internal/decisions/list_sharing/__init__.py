"""One host of a failure domain reads the list of backend servers for the others."""
