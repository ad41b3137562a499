"""A layer-4 load balancer and a library of coordination parts."""

__version__ = "0.1.0"
