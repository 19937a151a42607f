"""The drain list of the platform: its type and its text."""

import json
from dataclasses import dataclass, replace
from typing import Any

from result import Err, Ok, Result

from jujuberun.delta import MAX_DOCUMENT_BYTES, digest_document
from jujuberun.errors import SourceError
from jujuberun.ids import DomainId


@dataclass(frozen=True, slots=True)
class DrainList:
    """The failure domains that take no new flows, at one index.

    Attributes:
        index: version number, which identifies the state of the platform and
            grows at each change, also when the epoch rises.
        domains: the drained failure domains.
        epoch: how often the platform has come back with an older list; 0 if it
            never loses changes.
    """

    index: int = 0
    domains: frozenset[DomainId] = frozenset()
    epoch: int = 0


def parse_drain_list(data: bytes) -> Result[DrainList, SourceError]:
    """Parses a drain list.

    Args:
        data: JSON text {"index": n, "domains": [...], "epoch": n}; epoch is
            optional.

    Returns:
        Ok with the list, or Err if the text is malformed or too large.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return _refuse(f"the list has more than {MAX_DOCUMENT_BYTES} bytes")
    try:
        document = json.loads(data)
        domains = frozenset(map(_check_domain, document["domains"]))
        index = _check_number(document["index"])
        epoch = _check_number(document.get("epoch", 0))
    except RecursionError:
        return _refuse("malformed: nested too deeply")
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return _refuse(f"malformed: {error!r}")
    return Ok(DrainList(index, domains, epoch))


def dump_drain_list(drain_list: DrainList) -> bytes:
    """Returns the JSON text of a drain list.

    Lists that are equal have the same text, whoever wrote it.
    """
    document: dict[str, Any] = {
        "index": drain_list.index,
        "domains": sorted(drain_list.domains),
    }
    if drain_list.epoch:
        document["epoch"] = drain_list.epoch
    return json.dumps(document, separators=(",", ":")).encode()


def digest_drains(drain_list: DrainList) -> bytes:
    """Returns a digest of the epoch and the domains of a list.

    Lists of different index have the same digest if they differ in nothing
    else.
    """
    return digest_document(dump_drain_list(replace(drain_list, index=0)))


def _refuse(reason: str) -> Err[SourceError]:
    return Err(SourceError("parse drain list", "", reason))


def _check_domain(value: Any) -> DomainId:
    if not isinstance(value, str) or not value:
        raise ValueError(f"found {value!r}; expected a text that is not empty")
    return DomainId(value)


def _check_number(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"found {value!r}; expected an integer")
    if not 0 <= value < 1 << 62:
        raise ValueError(f"found {value}; expected 0 to 2**62 - 1")
    return value
