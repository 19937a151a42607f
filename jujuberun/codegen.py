"""Generates the message classes from the Thrift definitions.

The generated classes are committed, because parsing the definitions at the
start of a daemon takes as long as all other steps of the start together, apart
from loading libraries.
"""

import sys
from pathlib import Path
from typing import Any

import thriftpy2.parser

from jujuberun.thrift_packages import TType

_HEADER = '''"""Messages of jujuberun.thrift; made by jujuberun.codegen."""

from jujuberun.thrift_packages import TPayload, TType

'''
_TYPE_NAMES = {
    getattr(TType, name): name
    for name in ("BOOL", "I16", "I32", "I64", "DOUBLE", "STRING", "BINARY")
}


def render_messages(definitions: Path) -> str:
    """Returns the source code of the message classes.

    Args:
        definitions: path of the Thrift file.
    """
    module = thriftpy2.parser.load(
        str(definitions), module_name="definitions_thrift"
    )
    structs = [
        entry
        for entry in vars(module).values()
        if getattr(entry, "_ttype", None) == TType.STRUCT
    ]
    return _HEADER + "\n".join(_render_struct(struct) for struct in structs)


def _render_struct(struct: Any) -> str:
    names = [spec[1] for _, spec in sorted(struct.thrift_spec.items())]
    lines = ["", f"class {struct.__name__}(TPayload):"]
    lines += ["    _ttype = TType.STRUCT", "    thrift_spec = {"]
    for number, spec in sorted(struct.thrift_spec.items()):
        lines.append(f"        {number}: {_render_field(spec)},")
    lines += ["    }", "", "    def __init__(", "        self,"]
    lines += [f"        {name}=None," for name in names]
    lines += ["    ):"]
    lines += [f"        self.{name} = {name}" for name in names]
    return "\n".join([*lines, ""])


def _render_field(spec: tuple) -> str:
    kind, name, *inner, required = spec
    parts = [_render_type(kind), repr(name).replace("'", '"')]
    if inner:
        parts.append(_render_inner(kind, inner[0]))
    return f"({', '.join([*parts, str(required)])})"


def _render_inner(kind: int, inner: Any) -> str:
    if kind == TType.STRUCT:
        return inner.__name__
    if isinstance(inner, tuple):
        return f"({_render_type(inner[0])}, {inner[1].__name__})"
    return _render_type(inner)


def _render_type(kind: int) -> str:
    match kind:
        case TType.STRUCT:
            return "TType.STRUCT"
        case TType.LIST:
            return "TType.LIST"
        case _:
            return f"TType.{_TYPE_NAMES[kind]}"


def main() -> int:
    """Writes the message classes to messages.py beside the Thrift file."""
    folder = Path(__file__).parent
    text = render_messages(folder / "jujuberun.thrift")
    (folder / "messages.py").write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
