"""A layer-4 load balancer whose processes need no shared state."""

__version__ = "0.1.0"
