"""Connections to the stand-in of the store, which may go silent."""

import anyio
import h11
import httpcore


class StoreNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections to a FakeStore for httpcore's connection pool.

    Attributes:
        connections: all open connections, oldest first.
        piece_bytes: most bytes that arrive at once.
        piece_delay: seconds between two pieces of an answer.
    """

    def __init__(self, store):
        self.connections = []
        self.piece_bytes, self.piece_delay = 1 << 30, 0.0
        self._store = store

    async def connect_tcp(self, *args, **options):
        connection = StoreConnection(self, self._store)
        self.connections.append(connection)
        return connection

    def silence(self):
        """Lets open connections deliver nothing more; new ones work."""
        for connection in self.connections:
            connection.is_silent = True

    def silence_watch(self, prefix):
        """Does so with the connection that watches a prefix, if there is one.

        Args:
            prefix: prefix without the slash.
        """
        for connection in self.connections:
            if f"Prefix={prefix}%2F" in connection.target:
                connection.is_silent = True


class StoreConnection(httpcore.AsyncNetworkStream):
    """One connection.

    Attributes:
        is_silent: whether nothing arrives any more.
        target: path and query of the call in progress, empty without one.
    """

    def __init__(self, network, store):
        self.is_silent = False
        self.target = ""
        self._network, self._store = network, store
        self._server = h11.Connection(h11.SERVER)
        self._unread = b""

    async def write(self, buffer, timeout=None):
        if not buffer:
            return  # To the parser, no bytes are the end of the connection.
        self._server.receive_data(buffer)
        event = self._server.next_event()
        while event not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Request):
                self.target = event.target.decode()
            event = self._server.next_event()

    async def read(self, max_bytes, timeout=None):
        try:
            with anyio.fail_after(timeout):
                return await self._read(max_bytes)
        except TimeoutError:
            raise httpcore.ReadTimeout from None

    async def aclose(self):
        if self in self._network.connections:
            self._network.connections.remove(self)

    async def _read(self, max_bytes):
        if not self._unread:
            self._unread = await self._make_answer()
        else:
            await anyio.sleep(self._network.piece_delay)
        if self.is_silent:
            await anyio.sleep_forever()
        size = min(max_bytes, self._network.piece_bytes)
        piece, self._unread = self._unread[:size], self._unread[size:]
        return piece

    async def _make_answer(self):
        response = await self._store.answer(self.target)
        body = await response.aread()
        self.target = ""
        headers = [*response.headers, ("Content-Length", str(len(body)))]
        head = h11.Response(status_code=response.status, headers=headers)
        parts = (head, h11.Data(data=body), h11.EndOfMessage())
        data = b"".join(self._server.send(part) for part in parts)
        self._server.start_next_cycle()
        return data
