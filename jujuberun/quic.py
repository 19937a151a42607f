"""QUIC and HTTP/3 settings and frames shared by callers and agents."""

from pathlib import Path

from aioquic.buffer import Buffer, BufferReadError, encode_uint_var
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from jujuberun.errors import RequestError
from jujuberun.ids import Address

# Shortest wait for a timer, so that a timer that stays due does not keep the
# event loop busy.
MIN_WAIT_S = 0.001
# Callers send a keep-alive ping after KEEP_ALIVE_S of module connection, well
# before this timeout.
IDLE_TIMEOUT_S = 60.0
MAX_STREAM_BYTES = 1 << 20  # flow control window of a stream
MAX_CONNECTION_BYTES = 4 << 20  # flow control window of a connection
MAX_REQUEST_ID_CHARS = 128  # maximum length of a request id in characters

# HTTP/3 error codes of RFC 9114 for connections and request streams.
H3_NO_ERROR = 0x100
H3_REQUEST_REJECTED = 0x10B
H3_REQUEST_CANCELLED = 0x10C

# Peer address given to aioquic, which distinguishes network paths by address.
# It is constant, because a flow has only one caller address.
PEER_ADDRESS: Address = ("peer", 0)

# Id of the first unidirectional stream of a server (RFC 9000). The server
# opens its control stream first.
SERVER_CONTROL_STREAM = 3
_GOAWAY_FRAME = 0x07
_CONTROL_STREAM_TYPE = 0x00
_MAX_CONTROL_FRAME_BYTES = 4096

HEADER_REQUEST_ID = b"request-id"
HEADER_IDEMPOTENT = b"idempotent"
HEADER_DEADLINE = b"deadline-ms"
HEADER_OUTCOME = b"outcome"
HEADER_REASON = b"outcome-reason"
HEADER_RETRY_AFTER = b"retry-after-ms"

# Hop-by-hop header fields of HTTP/1.1 and the fields that the agent sets.
_UNFORWARDED_HEADERS = frozenset(
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

    It has no session ticket handler: aioquic then issues no tickets and no
    caller can send 0-RTT data, which an attacker could replay.

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
        server_name: name that the certificate must contain.
        authorities: PEM text of the trusted certificate authorities, or None
            for those of the system.
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
    """Returns the header fields that are forwarded unchanged."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _UNFORWARDED_HEADERS and not name.startswith(b":")
    )


def encode_goaway(stream: int) -> bytes:
    """Encodes a GOAWAY frame.

    Args:
        stream: id of the first request stream that will not be processed.
    """
    payload = encode_uint_var(stream)
    return (
        encode_uint_var(_GOAWAY_FRAME)
        + encode_uint_var(len(payload))
        + (payload)
    )


class GoawayReader:
    """Finds GOAWAY frames in the server's control stream.

    aioquic ignores these frames.
    """

    def __init__(self) -> None:
        self._unparsed = b""
        self._type_read = False
        self._unusable = False

    def read(self, data: bytes) -> int | None:
        """Parses the next bytes of the control stream.

        Returns:
            Stream id of the last GOAWAY frame that these bytes complete, or
            None.
        """
        if self._unusable:
            return None
        self._unparsed += data
        goaway_stream = None
        buffer = Buffer(data=self._unparsed)
        parsed_bytes = 0
        try:
            if not self._type_read:
                self._unusable = buffer.pull_uint_var() != _CONTROL_STREAM_TYPE
                self._type_read = True
                parsed_bytes = buffer.tell()
            while not self._unusable and not buffer.eof():
                kind = buffer.pull_uint_var()
                size = buffer.pull_uint_var()
                self._unusable = size > _MAX_CONTROL_FRAME_BYTES
                payload = buffer.pull_bytes(size)
                if kind == _GOAWAY_FRAME:
                    goaway_stream = Buffer(data=payload).pull_uint_var()
                parsed_bytes = buffer.tell()
        except BufferReadError:
            pass  # The rest of the frame has not arrived.
        self._unparsed = self._unparsed[parsed_bytes:]
        if len(self._unparsed) > 2 * _MAX_CONTROL_FRAME_BYTES:
            # Limits the memory that an incomplete frame can take.
            self._unusable = True
            self._unparsed = b""
        return goaway_stream
