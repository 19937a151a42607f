"""Difference of two documents, compressed for the way between peers.

The documents are JSON texts of many small objects, so a difference copies
runs of unchanged objects from the base and carries the others whole. It is a
sequence of steps: offset and length of a copy from the base, length of the
literal that follows (4 bytes each, big endian), the literal.
"""

import hashlib
import struct

import zstandard
from result import Err, Ok, Result

from jujuberun.errors import WireError

MAX_DOCUMENT_BYTES = 1_000_000  # the platform's largest value
DIGEST_BYTES = 16
_LEVEL = 3
_SEPARATOR = b"}"
_STEP = struct.Struct(">III")
# A step for each object of 20 bytes at least.
_MAX_DELTA_BYTES = 2 * MAX_DOCUMENT_BYTES


def digest_document(data: bytes) -> bytes:
    """Returns the BLAKE2b digest of a text, DIGEST_BYTES bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def pack_document(data: bytes) -> bytes:
    """Compresses a whole document."""
    return zstandard.ZstdCompressor(level=_LEVEL).compress(data)


def unpack_document(packed: bytes, digest: bytes) -> Result[bytes, WireError]:
    """Reverses pack_document and verifies the digest."""
    match _decompress(packed, MAX_DOCUMENT_BYTES):
        case Err(reason):
            return _refuse(reason)
        case Ok(data):
            return _verify(data, digest)


def make_delta(base: bytes, data: bytes) -> bytes:
    """Returns the compressed difference that leads from base to data."""
    offsets = _index_chunks(base)
    steps = []
    start = length = 0
    literal: list[bytes] = []
    for chunk in _split(data):
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
    """Reverses make_delta and verifies the digest of the result.

    Args:
        base: the document that the difference starts from.
        packed: what make_delta returned.
        digest: digest_document of the result.

    Returns:
        Ok with the document, or Err when the difference is malformed, too
        large or leads to another document.
    """
    match _decompress(packed, _MAX_DELTA_BYTES):
        case Err(reason):
            return _refuse(reason)
        case Ok(steps):
            pass
    parts = []
    size = place = 0
    while place < len(steps):
        if place + _STEP.size > len(steps):
            return _refuse("a step is truncated")
        start, length, added = _STEP.unpack_from(steps, place)
        place += _STEP.size
        if start + length > len(base) or place + added > len(steps):
            return _refuse("a step exceeds its source")
        size += length + added
        if size > MAX_DOCUMENT_BYTES:
            return _refuse(f"more than {MAX_DOCUMENT_BYTES} bytes")
        parts.append(base[start : start + length])
        parts.append(steps[place : place + added])
        place += added
    return _verify(b"".join(parts), digest)


def _split(data: bytes) -> list[bytes]:
    chunks = [chunk + _SEPARATOR for chunk in data.split(_SEPARATOR)]
    chunks[-1] = chunks[-1][:-1]
    return [chunk for chunk in chunks if chunk]


def _index_chunks(base: bytes) -> dict[bytes, int]:
    offsets: dict[bytes, int] = {}
    place = 0
    for chunk in _split(base):
        offsets.setdefault(chunk, place)
        place += len(chunk)
    return offsets


def _pack_step(start: int, length: int, literal: list[bytes]) -> bytes:
    text = b"".join(literal)
    return _STEP.pack(start, length, len(text)) + text


def _decompress(packed: bytes, limit: int) -> Result[bytes, str]:
    try:
        # The library allocates what the header announces, whatever limit it
        # is given, so the header is checked first.
        size = zstandard.frame_content_size(packed)
        if size < 0 or size > limit:
            return Err(f"size {size} is not within {limit} bytes")
        return Ok(zstandard.ZstdDecompressor().decompress(packed))
    except zstandard.ZstdError as error:
        return Err(f"not zstd: {error}")


def _verify(data: bytes, digest: bytes) -> Result[bytes, WireError]:
    if digest_document(data) != digest:
        return _refuse("the digest does not match")
    return Ok(data)


def _refuse(reason: str) -> Err[WireError]:
    return Err(WireError("unpack document", "", reason))
