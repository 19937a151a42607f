"""Sizes that an encoded Thrift struct claims, checked before it is decoded.

The codec believes a list that claims 2**31 elements, and works on it for
minutes even if no byte follows.
"""

import struct

from jujuberun.errors import WireError

_STOP, _STRING, _STRUCT, _MAP, _SET, _LIST = 0, 11, 12, 13, 14, 15
# Bytes of each type of fixed size: bool, byte, double, i16, i32, i64.
_FIXED_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
_MAX_DEPTH = 16  # our messages have 4
_read_size = struct.Struct(">I").unpack_from


def check_sizes(data: bytes) -> None:
    """Checks that a struct of the binary protocol fits into its bytes.

    Args:
        data: the encoded struct.

    Raises:
        WireError: a size is larger than the bytes that follow, a type is
            unknown, or structs are nested too deeply.
    """
    try:
        _skip_struct(data, 0, 0)
    except (IndexError, ValueError, struct.error) as error:
        raise WireError("open message", "", f"malformed: {error}") from error


def _skip_struct(data: bytes, at: int, depth: int) -> int:
    """Returns the place behind a struct."""
    if depth > _MAX_DEPTH:
        raise ValueError(f"nested more than {_MAX_DEPTH} deep")
    while True:
        kind = data[at]
        if kind == _STOP:
            return at + 1
        at += 3
        fixed = _FIXED_BYTES.get(kind)
        at = at + fixed if fixed else _skip_value(data, at, kind, depth)


def _skip_value(data: bytes, at: int, kind: int, depth: int) -> int:
    """Returns the place behind a value whose size is not fixed."""
    if kind == _STRING:
        at += 4 + _read_size(data, at)[0]
        if at > len(data):
            raise ValueError("a text is longer than the message")
        return at
    if kind == _STRUCT:
        return _skip_struct(data, at, depth + 1)
    if kind in (_LIST, _SET):
        return _skip_elements(data, at + 1, data[at : at + 1], depth)
    if kind == _MAP:
        return _skip_elements(data, at + 2, data[at : at + 2], depth)
    raise ValueError(f"type {kind} is unknown")


def _skip_elements(data: bytes, at: int, kinds: bytes, depth: int) -> int:
    """Returns the place behind the elements of a list, set or map."""
    if depth > _MAX_DEPTH:
        raise ValueError(f"nested more than {_MAX_DEPTH} deep")
    (count,) = _read_size(data, at)
    at += 4
    # Each element takes a byte at least.
    if count * len(kinds) > len(data) - at:
        raise ValueError(f"{count} elements do not fit into the message")
    for _ in range(count):
        for kind in kinds:
            fixed = _FIXED_BYTES.get(kind)
            at = at + fixed if fixed else _skip_value(data, at, kind, depth + 1)
    return at
