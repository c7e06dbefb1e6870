"""Decodes JSON, and reads an operator's TOML files.

TOML files have a size limit; errors in one name the file, the line and the field.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import orjson

from aspensaddle.support.config_errors import InvalidFileError, UnreadableFileError
from aspensaddle.support.json_fields import DecodeError, Message
from aspensaddle.support.toml_lines import line_of

T = TypeVar("T")

MAX_FILE_BYTES = 4 << 20


def load_json(data: bytes) -> Message:
    """Decode a JSON object.

    Raises:
        DecodeError: If the data is not a JSON object.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise DecodeError(f"not JSON: {error}") from None
    if type(value) is not dict:
        raise DecodeError("must be an object")
    return value


def load_toml(path: Path, parse: Callable[[Message], T]) -> T | None:
    """Read an operator's file and decode it with `parse`; None if there is no file.

    Raises:
        UnreadableFileError: If the file can't be read.
        InvalidFileError: If its content can't be used.
    """
    source = ""
    try:
        source = _read(path)
        return parse(tomllib.loads(source))
    except FileNotFoundError:
        return None
    except OSError as error:
        raise UnreadableFileError(str(path), error.strerror) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidFileError(str(path), str(error)) from None
    except DecodeError as error:
        raise InvalidFileError(str(path), str(error), line_of(source, error.field)) from None


def _read(path: Path) -> str:
    with path.open("rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise DecodeError(f"is larger than {MAX_FILE_BYTES} bytes")
    return data.decode()
