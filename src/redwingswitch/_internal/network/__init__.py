"""Network adapters of the decision code: codecs, sockets and HTTP clients."""
