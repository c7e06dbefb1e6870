"""Validates the fields of decoded JSON or TOML, one by one, with errors that name the field.

Each function returns a field of a message, in the type that its name states. For a missing field or null it returns
the default, or raises `DecodeError` if there is none. A value of another type raises `DecodeError`.
"""

from __future__ import annotations

from typing import Any, TypeAlias

Message: TypeAlias = dict[str, Any]


class DecodeError(Exception):
    """A value that is not valid; the text begins with the name of the field."""

    @property
    def field(self) -> str:
        """The name of the field, such as `ids[1].key`: the first word of the text."""
        return str(self).split(" ", 1)[0].rstrip(":")


_MISSING = object()


def raw(message: Message, name: str, default: Any) -> Any:
    """Return a field of any type."""
    value = message.get(name)
    if value is None:
        if default is _MISSING:
            raise DecodeError(f"{name} is missing")
        return default
    return value


def number(message: Message, name: str, default: Any = _MISSING) -> Any:
    """Return a number, an integer or a float."""
    value = raw(message, name, default)
    if type(value) is float or type(value) is int or value is default:
        return value
    raise DecodeError(f"{name} must be a number, not {value!r:.60}")


def integer(message: Message, name: str, default: Any = _MISSING) -> Any:
    """Return an integer."""
    value = raw(message, name, default)
    if type(value) is int or value is default:
        return value
    raise DecodeError(f"{name} must be an integer, not {value!r:.60}")


def text(message: Message, name: str) -> str:
    """Return a string, which has no default."""
    value = raw(message, name, _MISSING)
    if type(value) is str:
        return value
    raise DecodeError(f"{name} must be a string, not {value!r:.60}")


def flag(message: Message, name: str, default: Any = False) -> bool:
    """Return a boolean."""
    value = raw(message, name, default)
    if type(value) is bool:
        return value
    raise DecodeError(f"{name} must be true or false, not {value!r:.60}")


def array(message: Message, name: str, default: Any = _MISSING) -> list[Any]:
    """Return a list."""
    value = raw(message, name, default)
    if type(value) is list:
        return value
    raise DecodeError(f"{name} must be an array, not {value!r:.60}")


def obj(message: Message, name: str, default: Any = _MISSING) -> Message:
    """Return an object."""
    value = raw(message, name, default)
    if type(value) is dict:
        return value
    raise DecodeError(f"{name} must be an object, not {value!r:.60}")


def choice(message: Message, name: str, table: dict[str, Any], default: Any = _MISSING) -> Any:
    """Return the value that a table has for the field's text, which must be one of its keys."""
    value = raw(message, name, default)
    if type(value) is str and value in table:
        return table[value]
    if value is default:
        return value
    raise DecodeError(f"{name} must be one of {', '.join(table)}, not {value!r:.60}")


def as_object(value: Any, where: str) -> Message:
    """Return a value that must be an object; `where` names the field that holds it."""
    if type(value) is not dict:
        raise DecodeError(f"{where} must hold objects, not {value!r:.60}")
    return value
