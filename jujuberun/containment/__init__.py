"""Keeps what others send, or fail to send, from ending a daemon.

`units` contains the errors of one unit of work, for example a connection or a
message. `acceptor` accepts connections that may be lost at any moment.
"""
