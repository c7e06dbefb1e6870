"""JSON values to typed ones: field by field, with a message that names the field."""

from __future__ import annotations

from typing import Any, TypeAlias

Message: TypeAlias = dict[str, Any]


class DecodeError(Exception):
    """A value that is not what it should be; the text names the field."""


_MISSING = object()


def raw(m: Message, name: str, default: Any) -> Any:
    """A field as it stands; null and a missing one are the default."""
    value = m.get(name)
    if value is None:
        if default is _MISSING:
            raise DecodeError(f"{name} is missing")
        return default
    return value


def number(m: Message, name: str, default: Any = _MISSING) -> Any:
    value = raw(m, name, default)
    if type(value) is float or type(value) is int or value is default:
        return value
    raise DecodeError(f"{name} must be a number, not {value!r:.60}")


def integer(m: Message, name: str, default: Any = _MISSING) -> Any:
    value = raw(m, name, default)
    if type(value) is int or value is default:
        return value
    raise DecodeError(f"{name} must be an integer, not {value!r:.60}")


def text(m: Message, name: str) -> str:
    value = raw(m, name, _MISSING)
    if type(value) is str:
        return value
    raise DecodeError(f"{name} must be a string, not {value!r:.60}")


def flag(m: Message, name: str, default: Any = False) -> bool:
    value = raw(m, name, default)
    if type(value) is bool:
        return value
    raise DecodeError(f"{name} must be true or false, not {value!r:.60}")


def array(m: Message, name: str, default: Any = _MISSING) -> list[Any]:
    value = raw(m, name, default)
    if type(value) is list:
        return value
    raise DecodeError(f"{name} must be an array, not {value!r:.60}")


def obj(m: Message, name: str, default: Any = _MISSING) -> Message:
    value = raw(m, name, default)
    if type(value) is dict:
        return value
    raise DecodeError(f"{name} must be an object, not {value!r:.60}")


def word(m: Message, name: str, table: dict[str, Any], default: Any = _MISSING) -> Any:
    value = raw(m, name, default)
    if type(value) is str and value in table:
        return table[value]
    if value is default:
        return value
    raise DecodeError(f"{name} must be one of {', '.join(table)}, not {value!r:.60}")


def as_object(value: Any, where: str) -> Message:
    if type(value) is not dict:
        raise DecodeError(f"{where} must hold objects, not {value!r:.60}")
    return value
