"""The parts of thriftpy2 that daemons use.

The packages' own initialisation loads a parser of Thrift files with an HTTP
client, and transports with TLS. It is left out, because daemons need none of
that, and it takes a fifth of their start.
"""

import importlib.util
import sys


def _register_package(name: str) -> None:
    """Makes the modules of a package importable without initialising it."""
    if name in sys.modules:
        return
    spec = importlib.util.find_spec(name)
    sys.modules[name] = importlib.util.module_from_spec(spec)


for _name in ("thriftpy2", "thriftpy2.protocol", "thriftpy2.transport"):
    _register_package(_name)

from thriftpy2.protocol.cybin import TCyBinaryProtocol  # noqa: E402
from thriftpy2.thrift import TException, TPayload, TType  # noqa: E402
from thriftpy2.transport.memory import TCyMemoryBuffer  # noqa: E402

__all__ = [
    "TCyBinaryProtocol",
    "TCyMemoryBuffer",
    "TException",
    "TPayload",
    "TType",
]
