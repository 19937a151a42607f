"""Compiler for the subset of JSON Schema that the manifest schema uses.

The jsonschema library needs 0.5 s to check a manifest of 3,600 targets, and
13 s for a malformed one of the same size. Peers suspect a balancer that is
blocked for so long. The schema is therefore compiled once into functions that
stop at the first violation. A test compares their results with those of the
library.
"""

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jujuberun.errors import ManifestError

_MAX_SHOWN_CHARACTERS = 60  # longer values are cut off in error messages
_ANNOTATIONS = {"$schema", "title", "description"}
_KEYWORDS = {
    "object": {"type", "additionalProperties", "required", "properties"},
    "array": {"type", "minItems", "maxItems", "uniqueItems", "items"},
    "string": {"type", "pattern"},
    "integer": {"type", "minimum", "maximum"},
    "number": {"type", "minimum", "maximum"},
    "enum": {"enum"},
}


@dataclass(frozen=True, slots=True)
class SchemaViolation:
    """The first violation of a schema in a document.

    Attributes:
        path: keys and list indexes that lead to the value, outermost first.
        value: the value that violates the schema, None if the key is missing.
        allowed: description of the allowed values.
        missing: whether a required key is missing.
    """

    path: tuple[str | int, ...]
    value: Any
    allowed: str
    missing: bool = False

    def prepend_key(self, key: str | int) -> "SchemaViolation":
        """Returns the violation with the key of the enclosing object or list.

        Args:
            key: key or list index, which is put at the front of the path.
        """
        path = (key, *self.path)
        return SchemaViolation(path, self.value, self.allowed, self.missing)


CheckFunction = Callable[[Any], SchemaViolation | None]


def load_schema() -> dict[str, Any]:
    """Returns the JSON schema of the manifest."""
    path = Path(__file__).with_name("manifest.schema.json")
    return json.loads(path.read_text(encoding="utf-8"))


def compile_schema(schema: dict[str, Any]) -> CheckFunction:
    """Compiles a schema into a function that returns the first violation.

    The check of integers is stricter than JSON Schema: 1.0 is not accepted,
    because its text differs from that of 1 when it is written again.

    Args:
        schema: JSON schema that uses only the keywords in _KEYWORDS and has
            a description for each value.

    Raises:
        ManifestError: the schema uses another type or keyword, or lacks a
            description.
    """
    kind = "enum" if "enum" in schema else schema.get("type")
    if kind not in _KEYWORDS:
        raise ManifestError(
            "compile schema", "", f"type {kind!r} is not supported"
        )
    unknown = set(schema) - _KEYWORDS[kind] - _ANNOTATIONS
    if unknown or "description" not in schema:
        names = ", ".join(sorted(unknown)) or "no description"
        raise ManifestError(
            "compile schema", kind, f"schema not supported: {names}"
        )
    return _COMPILERS[kind](schema)


def _compile_object(schema: dict[str, Any]) -> CheckFunction:
    allowed = schema["description"]
    names = tuple(schema["properties"])
    required = frozenset(schema["required"])
    if schema["additionalProperties"] or not required <= set(names):
        raise ManifestError(
            "compile schema",
            "object",
            "additionalProperties must be false, and properties must contain"
            " all required keys",
        )
    known = f"known keys: {', '.join(names)}"
    known_names = frozenset(names)
    checks = [
        (name, compile_schema(inner), inner["description"])
        for name, inner in schema["properties"].items()
    ]

    def check(value: Any) -> SchemaViolation | None:
        if type(value) is not dict:
            return SchemaViolation((), value, allowed)
        for name, check_inner, description in checks:
            if name not in value:
                if name not in required:
                    continue
                return SchemaViolation((name,), None, description, missing=True)
            violation = check_inner(value[name])
            if violation is not None:
                return violation.prepend_key(name)
        for name in value:
            if name not in known_names:
                return SchemaViolation((name,), value[name], known)
        return None

    return check


def _compile_array(schema: dict[str, Any]) -> CheckFunction:
    allowed = schema["description"]
    minimum = schema.get("minItems", 0)
    maximum = schema.get("maxItems", float("inf"))
    unique = schema.get("uniqueItems", False)
    check_item = compile_schema(schema["items"])

    def check(value: Any) -> SchemaViolation | None:
        if type(value) is not list or not minimum <= len(value) <= maximum:
            return SchemaViolation((), value, allowed)
        for index, item in enumerate(value):
            violation = check_item(item)
            if violation is not None:
                return violation.prepend_key(index)
        # Lists with unique items contain only strings, so that a set finds
        # duplicates.
        if unique and len(set(value)) < len(value):
            return SchemaViolation((), value, allowed)
        return None

    return check


def _compile_string(schema: dict[str, Any]) -> CheckFunction:
    allowed = schema["description"]
    search = re.compile(schema["pattern"]).search

    def check(value: Any) -> SchemaViolation | None:
        if type(value) is str and search(value):
            return None
        return SchemaViolation((), value, allowed)

    return check


def _compile_number(schema: dict[str, Any]) -> CheckFunction:
    allowed = schema["description"]
    minimum, maximum = schema["minimum"], schema["maximum"]
    allowed_types = {int} if schema["type"] == "integer" else {int, float}

    def check(value: Any) -> SchemaViolation | None:
        if type(value) in allowed_types and minimum <= value <= maximum:
            return None
        return SchemaViolation((), value, allowed)

    return check


def _compile_enum(schema: dict[str, Any]) -> CheckFunction:
    allowed = schema["description"]
    values = frozenset(schema["enum"])

    def check(value: Any) -> SchemaViolation | None:
        if type(value) is str and value in values:
            return None
        return SchemaViolation((), value, allowed)

    return check


_COMPILERS: dict[str, Callable[[dict[str, Any]], CheckFunction]] = {
    "object": _compile_object,
    "array": _compile_array,
    "string": _compile_string,
    "integer": _compile_number,
    "number": _compile_number,
    "enum": _compile_enum,
}


def format_key(part: str | int) -> str:
    """Returns a key or list index as error messages show it."""
    text = str(part)
    plain = text.isascii() and text.isprintable()
    return (
        text
        if plain and len(text) <= _MAX_SHOWN_CHARACTERS
        else format_value(text)
    )


def format_value(value: Any) -> str:
    """Returns a value as error messages show it, cut off if it is long."""
    try:
        text = json.dumps(value)
    except RecursionError:
        return "nested too deeply"
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[: _MAX_SHOWN_CHARACTERS - 3] + "..."
