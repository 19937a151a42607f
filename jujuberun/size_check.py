"""Check of the sizes in an encoded Thrift struct, made before decoding.

The Thrift codec does not check sizes against the length of the data: it spends
minutes on a list that declares 2**31 elements, even if no byte follows.
"""

import struct

from jujuberun.errors import WireError

_STOP, _STRING, _STRUCT, _MAP, _SET, _LIST = 0, 11, 12, 13, 14, 15
# Size of the types bool, byte, double, i16, i32 and i64.
_FIXED_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
_MAX_DEPTH = 16  # the messages of jujuberun.thrift have 4 levels
_read_size = struct.Struct(">I").unpack_from


def check_sizes(data: bytes) -> None:
    """Checks the declared sizes of a struct in the Thrift binary protocol.

    Args:
        data: encoded struct.

    Raises:
        WireError: a size exceeds the number of bytes that follow, a type is
            unknown, or values are nested too deeply.
    """
    try:
        _skip_struct(data, 0, 0)
    except (IndexError, ValueError, struct.error) as error:
        raise WireError("open message", "", f"malformed: {error}") from error


def _skip_struct(data: bytes, pos: int, depth: int) -> int:
    """Returns the offset after a struct."""
    if depth > _MAX_DEPTH:
        raise ValueError(f"nested more than {_MAX_DEPTH} levels deep")
    while True:
        kind = data[pos]
        if kind == _STOP:
            return pos + 1
        pos += 3
        size = _FIXED_BYTES.get(kind)
        pos = pos + size if size else _skip_value(data, pos, kind, depth)


def _skip_value(data: bytes, pos: int, kind: int, depth: int) -> int:
    """Returns the offset after a value whose type has no fixed size."""
    if kind == _STRING:
        pos += 4 + _read_size(data, pos)[0]
        if pos > len(data):
            raise ValueError(
                f"string ends at byte {pos} of a message of {len(data)} bytes"
            )
        return pos
    if kind == _STRUCT:
        return _skip_struct(data, pos, depth + 1)
    if kind in (_LIST, _SET):
        return _skip_elements(data, pos + 1, data[pos : pos + 1], depth)
    if kind == _MAP:
        return _skip_elements(data, pos + 2, data[pos : pos + 2], depth)
    raise ValueError(f"unknown field type {kind}")


def _skip_elements(data: bytes, pos: int, kinds: bytes, depth: int) -> int:
    """Returns the offset after the elements of a list, set or map."""
    if depth > _MAX_DEPTH:
        raise ValueError(f"nested more than {_MAX_DEPTH} levels deep")
    (count,) = _read_size(data, pos)
    pos += 4
    # Each element takes at least one byte.
    if count * len(kinds) > len(data) - pos:
        raise ValueError(
            f"{count} elements do not fit into {len(data) - pos} bytes"
        )
    for _ in range(count):
        for kind in kinds:
            size = _FIXED_BYTES.get(kind)
            pos = (
                pos + size if size else _skip_value(data, pos, kind, depth + 1)
            )
    return pos
