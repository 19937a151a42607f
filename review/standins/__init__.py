"""Stand-ins for callers, targets, the store and the network of a small fleet.

They use the standard library only, and follow the users' pages.
"""
