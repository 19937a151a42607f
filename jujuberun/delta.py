"""Compressed deltas between documents, for the transfer between peers.

The documents are JSON texts of many small objects. A delta copies runs of
unchanged objects from the base document and contains all other objects in
full. It is a sequence of steps. A step consists of the offset and the length
of a copy from the base, the length of a literal (4 bytes each, big endian)
and the literal itself.
"""

import hashlib
import struct

import zstandard
from result import Err, Ok, Result

from jujuberun.errors import WireError

# The largest values of platforms have 1 MiB. An adapter's translation may take
# nearly four times the space.
MAX_DOCUMENT_BYTES = 4_000_000
DIGEST_BYTES = 16
_COMPRESSION_LEVEL = 3
_CHUNK_END = b"}"
_STEP_HEADER = struct.Struct(">III")
# Limits the decompressed delta. In the worst case each object has a step of
# its own. An object has at least 20 bytes, so the headers of the steps are
# smaller than the document.
_MAX_DELTA_BYTES = 2 * MAX_DOCUMENT_BYTES


def digest_document(data: bytes) -> bytes:
    """Returns the BLAKE2b digest of a text; it has DIGEST_BYTES bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def pack_document(data: bytes) -> bytes:
    """Compresses a document that is sent in full."""
    return zstandard.ZstdCompressor(level=_COMPRESSION_LEVEL).compress(data)


def unpack_document(packed: bytes, digest: bytes) -> Result[bytes, WireError]:
    """Decompresses the result of pack_document and verifies the digest."""
    match _decompress(packed, MAX_DOCUMENT_BYTES):
        case Err(reason):
            return _refuse(reason)
        case Ok(data):
            return _verify(data, digest)


def make_delta(base: bytes, data: bytes) -> bytes:
    """Returns the compressed delta that turns base into data."""
    offsets = _index_chunks(base)
    steps = []
    start = length = 0
    literal: list[bytes] = []
    for chunk in _split_into_chunks(data):
        end = start + length
        if not literal and length and base.startswith(chunk, end):
            length += len(chunk)
            continue
        offset = offsets.get(chunk)
        if offset is None:
            literal.append(chunk)
            continue
        if length or literal:
            steps.append(_pack_step(start, length, literal))
        start, length, literal = offset, len(chunk), []
    steps.append(_pack_step(start, length, literal))
    return pack_document(b"".join(steps))


def apply_delta(
    base: bytes, packed: bytes, digest: bytes
) -> Result[bytes, WireError]:
    """Applies the result of make_delta and verifies the resulting document.

    Args:
        base: the document that the delta was made from.
        packed: compressed delta, as returned by make_delta.
        digest: digest_document of the resulting document.

    Returns:
        Ok with the document, or Err if the delta is malformed, is too large
        or results in another document.
    """
    match _decompress(packed, _MAX_DELTA_BYTES):
        case Err(reason):
            return _refuse(reason)
        case Ok(steps):
            pass
    parts = []
    size = position = 0
    while position < len(steps):
        if position + _STEP_HEADER.size > len(steps):
            return _refuse("a step of the delta is truncated")
        start, length, literal_size = _STEP_HEADER.unpack_from(steps, position)
        position += _STEP_HEADER.size
        if start + length > len(base) or position + literal_size > len(steps):
            return _refuse(
                "a step of the delta exceeds the base or the delta itself"
            )
        size += length + literal_size
        if size > MAX_DOCUMENT_BYTES:
            return _refuse(
                f"the document has more than {MAX_DOCUMENT_BYTES} bytes"
            )
        parts.append(base[start : start + length])
        parts.append(steps[position : position + literal_size])
        position += literal_size
    return _verify(b"".join(parts), digest)


def _split_into_chunks(data: bytes) -> list[bytes]:
    chunks = [chunk + _CHUNK_END for chunk in data.split(_CHUNK_END)]
    chunks[-1] = chunks[-1][:-1]
    return [chunk for chunk in chunks if chunk]


def _index_chunks(base: bytes) -> dict[bytes, int]:
    offsets: dict[bytes, int] = {}
    position = 0
    for chunk in _split_into_chunks(base):
        offsets.setdefault(chunk, position)
        position += len(chunk)
    return offsets


def _pack_step(start: int, length: int, literal: list[bytes]) -> bytes:
    text = b"".join(literal)
    return _STEP_HEADER.pack(start, length, len(text)) + text


def _decompress(packed: bytes, max_bytes: int) -> Result[bytes, str]:
    try:
        # The header is checked first, because the library allocates the size
        # that the header announces, even if it is given a smaller limit.
        size = zstandard.frame_content_size(packed)
        if size < 0 or size > max_bytes:
            return Err(f"announced size {size} is not within {max_bytes} bytes")
        return Ok(zstandard.ZstdDecompressor().decompress(packed))
    except zstandard.ZstdError as error:
        return Err(f"the data is not valid zstd: {error}")


def _verify(data: bytes, digest: bytes) -> Result[bytes, WireError]:
    if digest_document(data) != digest:
        return _refuse("the digest of the document does not match")
    return Ok(data)


def _refuse(reason: str) -> Err[WireError]:
    return Err(WireError("unpack document", "", reason))
