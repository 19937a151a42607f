"""A layer-4 load balancer whose daemons need no shared state."""

__version__ = "0.1.0"
