"""Stand-in for the platform's store, and proxies between it and balancers."""

import asyncio
import base64
import contextlib
import json
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from standins.packets import Address

ANSWER_DELAY_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_VALUE_BYTES = 1_048_576
_FIRST_REVISION = 400


class Store:
    """Holds items with their history, and answers calls over HTTP."""

    def __init__(self, address: Address) -> None:
        """Creates an empty store.

        Args:
            address: address at which it listens.
        """
        self.address = address
        self.items: dict[str, dict[str, Any]] = {}
        self._revision = _FIRST_REVISION
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        """Ends the server and its connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def put(self, key: str, value: Any) -> None:
        """Writes an item.

        Args:
            key: key of the item.
            value: bytes, or an object that is written as JSON.
        """
        data = value
        if not isinstance(value, bytes):
            data = json.dumps(value, separators=(",", ":")).encode()
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {len(data)} bytes")
        self._revision += 1
        known = self.items.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(data).decode(),
            "Revision": self._revision,
            "CreateRev": known["CreateRev"] if known else self._revision,
            "Lease": 0,
        }
        self.items[key] = item
        self._add_event(item)

    def remove(self, key: str) -> None:
        """Removes an item, if there is one."""
        if self.items.pop(key, None) is None:
            return
        self._revision += 1
        event = {"Key": key, "Revision": self._revision, "Removed": True}
        self._add_event(event)

    def _add_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                await asyncio.sleep(ANSWER_DELAY_S)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body))
                )
                writer.write(body)
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> tuple[int, bytes]:
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        match parts.path:
            case "/kv-key":
                item = self.items.get(query["Key"])
                if item is None:
                    return 404, b"{}"
                return 200, self._dump(item)
            case "/kv-range":
                return 200, self._dump(self._read_page(query))
            case "/kv-watch":
                return 200, self._dump({"events": await self._watch(query)})
        return 404, b"{}"

    def _dump(self, document: dict[str, Any]) -> bytes:
        text = json.dumps({**document, "CurrentRev": self._revision})
        return text.encode()

    def _read_page(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get("after", "")
        keys = [
            key
            for key in sorted(self.items)
            if key.startswith(query["Prefix"]) and key > after
        ]
        page: list[dict[str, Any]] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            if page and size + len(self.items[key]["Value"]) > PAGE_BYTES:
                break
            size += len(self.items[key]["Value"])
            page.append(self.items[key])
        return {"items": page, "HasMore": len(keys) > len(page)}

    async def _watch(self, query: dict[str, str]) -> list[dict[str, Any]]:
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["WaitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["Revision"] > int(query["after"])
                and event["Key"].startswith(query["Prefix"])
            ]
            left = end - loop.time()
            if events or left <= 0:
                return events
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class StoreProxy:
    """Forwards the connections of one balancer to the store."""

    def __init__(self, address: Address, store: Address) -> None:
        """Creates the proxy.

        Args:
            address: address at which it listens.
            store: address of the store.
        """
        self.address = address
        self._store = store
        self._silent: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._relay, *self.address)

    def close(self) -> None:
        """Ends the proxy and its connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def silence(self) -> int:
        """Makes the open connections silent for good; new ones work.

        Returns:
            Number of these connections.
        """
        self._silent |= self._open
        return len(self._open)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        out_reader, out_writer = await asyncio.open_connection(*self._store)
        self._writers |= {writer, out_writer}
        self._open.add(writer)
        await asyncio.gather(
            self._copy(reader, out_writer, writer),
            self._copy(out_reader, writer, writer),
            return_exceptions=True,
        )
        self._open.discard(writer)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        name: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if name in self._silent:
                    continue
                sink.write(data)
                await sink.drain()
        if name not in self._silent:
            sink.close()
