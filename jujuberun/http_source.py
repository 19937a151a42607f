"""Source that reads documents of the platform by HTTP long polling."""

from collections.abc import Callable

import anyio
import httpx

from jujuberun.errors import SourceError
from jujuberun.ids import VmId
from jujuberun.source import (
    DocumentKind,
    PlatformDocument,
    check_size,
)

# In addition to the wait that a watch asks for. With the longest wait, a watch
# on a connection that went silent ends in time for a change to be in force
# everywhere within 5 s.
ANSWER_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0


class HttpSource:
    """Reads the platform's configuration service by HTTP long polling."""

    is_local = False
    publishes_drains = False

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Creates the source.

        Args:
            client: HTTP client whose base URL is the URL of the service.
        """
        self._client = client

    @classmethod
    def from_config(
        cls,
        url: str,
        vm: VmId,
        make_transport: Callable[[], httpx.AsyncBaseTransport] | None = None,
    ) -> "HttpSource":
        """Builds a source with an HTTP client of its own.

        Args:
            url: base URL of the service.
            vm: id of this VM, which is sent in the User-Agent header.
            make_transport: makes the transport of the client, so that tests
                can replace the network.
        """
        client = httpx.AsyncClient(
            base_url=url,
            headers={"User-Agent": f"jujuberun/{vm}"},
            transport=make_transport() if make_transport else None,
            # An open connection may have gone silent, so each read opens one.
            limits=httpx.Limits(max_keepalive_connections=0),
            trust_env=False,
            # Loading the certificates takes tens of ms and tens of MB, so
            # they are loaded only for https.
            verify=url.startswith("https:"),
        )
        return cls(client)

    async def fetch(
        self, kind: DocumentKind, index: int, wait: float
    ) -> PlatformDocument | None:
        """Reads a document or waits for a new one; see Source."""
        step = f"read {kind.value}"
        peer = str(self._client.base_url)
        limit = wait + ANSWER_TIMEOUT_S
        timeout = httpx.Timeout(limit, connect=CONNECT_TIMEOUT_S)
        query = {"index": str(index), "wait": f"{wait:g}"}
        try:
            with anyio.fail_after(limit):
                async with self._client.stream(
                    "GET", f"/{kind.value}", params=query, timeout=timeout
                ) as response:
                    return await _read_response(response, kind, peer)
        except (TimeoutError, httpx.TimeoutException):
            text = f"no complete answer within {limit:g} s"
            raise SourceError(step, peer, text) from None
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            text = str(error) or type(error).__name__
            raise SourceError(step, peer, text) from error

    async def aclose(self) -> None:
        """Closes the connections to the service."""
        await self._client.aclose()


async def _read_response(
    response: httpx.Response, kind: DocumentKind, peer: str
) -> PlatformDocument | None:
    if response.status_code == httpx.codes.NOT_MODIFIED:
        return None
    step = f"read {kind.value}"
    if response.status_code != httpx.codes.OK:
        raise SourceError(
            step,
            peer,
            f"status {response.status_code}; expected 200 or 304",
        )
    text = response.headers.get("x-index", "")
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise SourceError(
            step,
            peer,
            f"header X-Index is {text[:30]!r}; expected 1 to 18 digits",
        )
    data = bytearray()
    async for part in response.aiter_bytes():
        data += part
        check_size(data, kind, peer)
    return PlatformDocument(kind, int(text), bytes(data))
