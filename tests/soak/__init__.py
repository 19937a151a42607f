"""Randomized soak test: runs real daemons and injects faults from outside."""
