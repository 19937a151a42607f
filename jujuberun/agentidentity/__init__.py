"""Tells apart the targets that are or were registered at one address.

An address may have registrations of several targets: of one that has ended, of
its successor, and such as other writers left. Its agent speaks for one of them.
`senders` decides without input or output.
"""
