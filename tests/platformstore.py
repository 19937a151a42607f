"""In-process stand-in for the platform's store, without a network."""

import base64
import contextlib
import json
import sys
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

import anyio
import httpcore

sys.path.append(str(Path(__file__).parent.parent / "platform"))

from adapter.store import StoreSource  # noqa: E402

AGENT_PORT = 8172
PAGE_ITEMS = 2


def make_entry(host="10.2.0.1", state="ready", service="counts", **changes):
    """Returns the registration of a target, as a JSON object."""
    return {
        "Service": service,
        "Address": f"{host}:8165",
        "Zone": "a",
        "Version": "v1",
        "Slots": 2,
        "State": state,
        "WarmupLeftMs": 0,
        "Seq": 4,
        **changes,
    }


def make_route(name="r-1", host="198.18.0.1", port=443, **changes):
    return {
        "Name": name,
        "Host": host,
        "Prefix": f"/{port}/",
        "RouteType": "idempotent",
        "TimeoutMs": 1000,
        "SloMs": 150,
        "Priority": 2,
        "Service": "counts",
        "MaxAttempts": 2,
        **changes,
    }


def make_configuration(version, *routes):
    return {
        "Version": version,
        "Routes": list(routes or (make_route(),)),
        "Services": [{"Name": "counts", "HealthPath": "/health"}],
        "Limits": {"IdleTimeoutMs": 15000},
    }


class FakePool:
    """Stands in for httpcore's connection pool; subclasses answer calls."""

    async def request(self, method, url, extensions):
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def stream(self, method, url, extensions):
        response = await self.request(method, url, extensions)
        content = await response.aread()
        yield httpcore.Response(
            response.status, headers=response.headers, content=content
        )


class FakeStore(FakePool):
    """Stands in for httpcore's connection pool and the store behind it.

    Attributes:
        items: items by key.
        history: events of all changes, oldest first.
        revision: number of the last change.
        history_start: revision from which on watches can ask for the history.
        fault: None, "silent", "lost", or an HTTP status for all answers.
        calls: path and query of each call, oldest first.
        era: counts the returns from a copy; sent with each answer.
        changed: event that is set at the next change.
    """

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 10
        self.era = 1
        self.history_start, self.fault, self.calls = 0, None, []
        self.changed = anyio.Event()

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "Key": key,
            "Value": base64.b64encode(data).decode(),
            "Revision": self.revision,
            "CreateRev": self.revision,
            "Lease": 0,
        }
        self.items[key] = item
        self._record_event(item)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self._record_event(
            {"Key": key, "Revision": self.revision, "Removed": True}
        )

    def forget_history(self):
        self.history_start = self.revision

    def make_copy(self):
        return dict(self.items), list(self.history), self.revision

    def restore(self, copy):
        """Comes back from a copy: later changes and their numbers are lost."""
        items, history, self.revision = copy
        self.items, self.history = dict(items), list(history)
        self.history_start = min(self.history_start, self.revision)
        self.era += 1
        self._wake_watches()

    def make_source(self):
        return StoreSource(self, "http://store", AGENT_PORT)

    async def request(self, method, url, extensions):
        return await self.answer(url)

    async def answer(self, url):
        parts = urlsplit(url)
        query = dict(parse_qsl(parts.query))
        self.calls.append((parts.path, query))
        if isinstance(self.fault, int):
            return self._respond(self.fault)
        if self.fault == "silent":
            await anyio.sleep_forever()
        match parts.path:
            case "/kv-key":
                item = self.items.get(query["Key"])
                status = 404 if item is None else 200
                return self._reply(item or {}, status)
            case "/kv-range":
                return self._reply(self._read_page(query))
            case "/kv-watch":
                return await self._watch(query)
        return self._respond(404)

    def _record_event(self, event):
        self.history.append(event)
        self._wake_watches()

    def _wake_watches(self):
        self.changed.set()
        self.changed = anyio.Event()

    def _reply(self, document, status=200):
        document = {**document, "CurrentRev": self.revision}
        return self._respond(status, json.dumps(document).encode())

    def _respond(self, status, content=b""):
        headers = [(b"Store-Era", str(self.era).encode())]
        return httpcore.Response(status, headers=headers, content=content)

    def _read_page(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["Prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "HasMore": len(keys) > PAGE_ITEMS}

    async def _watch(self, query):
        after = int(query["after"])
        if not self.history_start <= after <= self.revision:
            return self._respond(410)
        era = self.era
        with anyio.move_on_after(int(query["WaitMs"]) / 1000):
            while not self._find_events(query["Prefix"], after):
                await self.changed.wait()
                if era != self.era:
                    raise httpcore.ReadError("the store was restored")
        return self._reply(
            {"events": self._find_events(query["Prefix"], after)}
        )

    def _find_events(self, prefix, after):
        return [
            event
            for event in self.history
            if event["Revision"] > after and event["Key"].startswith(prefix)
        ]
