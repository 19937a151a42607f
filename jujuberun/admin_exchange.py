"""One HTTP exchange on the admin address."""

from collections.abc import Callable

import anyio
import h11
from anyio.abc import SocketStream

from jujuberun.admin_server import HttpReply

MAX_HEADER_BYTES = 8192
_READ_BYTES = 4096


async def serve_exchange(
    stream: SocketStream, reply: Callable[[bytes, bytes], HttpReply]
) -> bool:
    """Reads a request and sends the reply.

    Args:
        stream: connection of the client.
        reply: returns the reply to a request's method and target.

    Returns:
        Whether a request was replied to; False if it was malformed or the
        client closed the connection.
    """
    connection = h11.Connection(
        h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
    )
    try:
        return await _reply_to_request(connection, stream, reply)
    except h11.ProtocolError:
        return False


async def _reply_to_request(
    connection: h11.Connection,
    stream: SocketStream,
    reply: Callable[[bytes, bytes], HttpReply],
) -> bool:
    try:
        request = await _read_request(connection, stream)
    except h11.RemoteProtocolError as error:
        status = error.error_status_hint
        answer = HttpReply.from_error(status, f"malformed request: {error}")
        await _send_reply(connection, stream, answer)
        return False
    if request is None:
        return False
    answer = reply(request.method, request.target)
    await _send_reply(connection, stream, answer)
    return True


async def _read_request(
    connection: h11.Connection, stream: SocketStream
) -> h11.Request | None:
    while True:
        event = connection.next_event()
        match event:
            case h11.Request():
                return event
            case h11.ConnectionClosed():
                return None
            case _:
                connection.receive_data(await _receive(stream))


async def _receive(stream: SocketStream) -> bytes:
    try:
        return await stream.receive(_READ_BYTES)
    except anyio.EndOfStream:
        return b""


async def _send_reply(
    connection: h11.Connection, stream: SocketStream, reply: HttpReply
) -> None:
    headers = [
        ("Content-Type", reply.content_type),
        ("Content-Length", str(len(reply.body))),
        ("Connection", "close"),
    ]
    head = h11.Response(status_code=reply.status, headers=headers)
    data = (
        connection.send(head),
        connection.send(h11.Data(data=reply.body)),
        connection.send(h11.EndOfMessage()),
    )
    await stream.send(b"".join(part for part in data if part))
