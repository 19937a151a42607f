"""Failure domains that take no new flows: the document and its rules.

May import identifiers, addresses, errors and document transfer; imports nothing
of the packet path.
"""
