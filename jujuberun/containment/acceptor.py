"""Accepts TCP connections, each of which may be lost at any moment."""

import errno
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketStream, TaskGroup

from jujuberun.containment.units import contain_errors
from jujuberun.ids import Address
from jujuberun.logs import make_logger

BACKLOG_CONNECTIONS = 1024
# Pause after an error of accept() that leaves the connection in the queue, for
# example when the process has no free file descriptor. Without the pause, the
# process would be busy until one is free.
ACCEPT_RETRY_S = 0.1
# accept() returns the network errors of the connection that it takes from the
# queue; see accept(2) of Linux, "Error handling".
_LOST_IN_QUEUE = frozenset(
    {
        errno.EAGAIN,
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)

ConnectionHandler = Callable[[socket.socket, Address], Awaitable[None]]

_log = make_logger("containment")


def open_listener(address: Address) -> socket.socket:
    """Returns a non-blocking socket that listens on an address.

    Raises:
        OSError: the address cannot be bound.
    """
    listener = socket.create_server(address, backlog=BACKLOG_CONNECTIONS)
    listener.setblocking(False)
    return listener


async def accept_connections(
    listener: socket.socket,
    serve: ConnectionHandler,
    group: TaskGroup,
    counts: Counter[str],
) -> None:
    """Accepts connections until cancelled; serves each in a task of its own.

    An unexpected error of the handler ends only its connection.

    Args:
        listener: socket that open_listener returned.
        serve: async function (connection, sender) that serves and closes one
            connection. The sender is the address of the other end.
        group: runs the tasks of the connections.
        counts: event counters of the part: "accept-failed", "failed".
    """
    # asyncio's own accept loses a connection that arrives while the accept is
    # being cancelled.
    while True:
        await anyio.wait_readable(listener)
        try:
            connection, sender = listener.accept()
        except OSError as error:
            if error.errno in _LOST_IN_QUEUE:
                continue
            counts["accept-failed"] += 1
            _log.log_limited(
                logging.ERROR,
                error.errno,
                anyio.current_time(),
                "connection not accepted: %s",
                error,
            )
            await anyio.sleep(ACCEPT_RETRY_S)
            continue
        group.start_soon(_serve_contained, serve, connection, sender, counts)


async def _serve_contained(
    serve: ConnectionHandler,
    connection: socket.socket,
    sender: Address,
    counts: Counter[str],
) -> None:
    with contain_errors("connection", counts) as unit:
        await serve(connection, sender)
    if unit.has_failed:
        connection.close()


async def open_stream(connection: socket.socket) -> SocketStream:
    """Returns the stream of an accepted connection.

    Raises:
        OSError: the connection was lost since it was accepted. It is closed.
    """
    try:
        return await SocketStream.from_socket(connection)
    except ValueError as error:
        # A connection that was reset has no remote address, which the library
        # reports as a wrong argument.
        connection.close()
        raise ConnectionResetError(
            errno.ECONNRESET, "connection reset before it was served"
        ) from error
    except OSError:
        connection.close()
        raise
