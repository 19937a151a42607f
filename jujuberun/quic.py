"""QUIC and HTTP/3 settings and frames that both ends of a request share."""

from pathlib import Path

from aioquic.buffer import Buffer, BufferReadError, encode_uint_var
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from jujuberun.errors import RequestError
from jujuberun.ids import Address

MIN_WAIT_S = 0.001  # a timer that is due at once must not keep the loop busy
IDLE_TIMEOUT_S = 60.0  # callers send a ping well before
MAX_STREAM_BYTES = 1 << 20  # flow control window of a stream
MAX_CONNECTION_BYTES = 4 << 20  # flow control window of a connection
MAX_HEADER_TEXT = 128  # characters of a request id

# RFC 9114: error codes with which either side gives a request up.
H3_NO_ERROR = 0x100
H3_REQUEST_REJECTED = 0x10B
H3_REQUEST_CANCELLED = 0x10C

# A flow has one caller address, so the path never changes for QUIC.
PATH: Address = ("peer", 0)

# The server opens its control stream first: RFC 9000 gives it id 3.
SERVER_CONTROL_STREAM = 3
_GOAWAY_FRAME = 0x07
_CONTROL_TYPE = 0x00
_MAX_CONTROL_FRAME = 4096  # bytes

HEADER_REQUEST_ID = b"request-id"
HEADER_IDEMPOTENT = b"idempotent"
HEADER_DEADLINE = b"deadline-ms"
HEADER_OUTCOME = b"outcome"
HEADER_REASON = b"outcome-reason"
HEADER_RETRY_AFTER = b"retry-after-ms"

# Fields of one HTTP/1.1 connection, and those that the agent itself sets.
_OWN_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"deadline-ms",
        b"host",
        b"idempotent",
        b"keep-alive",
        b"outcome",
        b"outcome-reason",
        b"proxy-connection",
        b"request-id",
        b"retry-after-ms",
        b"te",
        b"transfer-encoding",
        b"upgrade",
    )
)

Headers = tuple[tuple[bytes, bytes], ...]


def load_server_tls(certificate: Path, private_key: Path) -> QuicConfiguration:
    """Returns the agent's QUIC configuration.

    Without a session ticket handler aioquic issues no tickets, so that no
    caller can send 0-RTT data, which could be replayed.

    Args:
        certificate: PEM file with the certificate chain.
        private_key: PEM file with the private key.

    Raises:
        RequestError: a file cannot be read or is not PEM.
    """
    configuration = QuicConfiguration(
        alpn_protocols=H3_ALPN,
        is_client=False,
        idle_timeout=IDLE_TIMEOUT_S,
        max_data=MAX_CONNECTION_BYTES,
        max_stream_data=MAX_STREAM_BYTES,
    )
    try:
        configuration.load_cert_chain(certificate, private_key)
    except (OSError, ValueError) as error:
        raise RequestError(
            "load certificate", str(certificate), str(error)
        ) from error
    return configuration


def make_client_tls(
    server_name: str, authorities: bytes | None = None
) -> QuicConfiguration:
    """Returns a caller's QUIC configuration.

    Args:
        server_name: name that the certificate must carry.
        authorities: PEM text of the accepted authorities, or None for those
            of the system.
    """
    configuration = QuicConfiguration(
        alpn_protocols=H3_ALPN,
        is_client=True,
        idle_timeout=IDLE_TIMEOUT_S,
        max_data=MAX_CONNECTION_BYTES,
        max_stream_data=MAX_STREAM_BYTES,
        server_name=server_name,
    )
    if authorities is not None:
        configuration.load_verify_locations(cadata=authorities)
    return configuration


def select_headers(headers: Headers) -> Headers:
    """Returns the header fields that pass through the agent unchanged."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _OWN_HEADERS and not name.startswith(b":")
    )


def encode_goaway(stream: int) -> bytes:
    """Encodes a GOAWAY frame.

    Args:
        stream: id of the first request stream that is surely not run.
    """
    payload = encode_uint_var(stream)
    return (
        encode_uint_var(_GOAWAY_FRAME)
        + encode_uint_var(len(payload))
        + (payload)
    )


class GoawayReader:
    """Finds GOAWAY in the server's control stream, which aioquic skips."""

    def __init__(self) -> None:
        self._data = b""
        self._typed = False
        self._broken = False

    def read(self, data: bytes) -> int | None:
        """Takes the next bytes of the control stream.

        Returns:
            Stream id of a GOAWAY frame in them, or None.
        """
        if self._broken:
            return None
        self._data += data
        found = None
        buffer = Buffer(data=self._data)
        kept = 0
        try:
            if not self._typed:
                self._broken = buffer.pull_uint_var() != _CONTROL_TYPE
                self._typed = True
                kept = buffer.tell()
            while not self._broken and not buffer.eof():
                kind = buffer.pull_uint_var()
                size = buffer.pull_uint_var()
                self._broken = size > _MAX_CONTROL_FRAME
                payload = buffer.pull_bytes(size)
                if kind == _GOAWAY_FRAME:
                    found = Buffer(data=payload).pull_uint_var()
                kept = buffer.tell()
        except BufferReadError:
            pass  # The rest of the frame has not arrived.
        self._data = self._data[kept:]
        if len(self._data) > 2 * _MAX_CONTROL_FRAME:
            # A frame that stays unreadable must not collect data for ever.
            self._broken = True
            self._data = b""
        return found
