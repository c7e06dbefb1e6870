"""Errors of the configuration and of an operator's files, with their details as attributes."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration can't be used; the text names the file or the field."""


class MissingVariableError(ConfigError):
    """An environment variable that the program needs is not set.

    Attributes:
        variable: The name of the variable.
    """

    def __init__(self, variable: str, purpose: str) -> None:
        super().__init__(f"{variable} is not set: {purpose}")
        self.variable = variable


class UnreadableFileError(ConfigError):
    """A file can't be read.

    Attributes:
        path: The file, as named in the message.
        reason: The operating system's error message.
    """

    def __init__(self, path: str, reason: str | None) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class InvalidFileError(ConfigError):
    """The content of a file can't be used.

    Attributes:
        path: The file.
        line: The line of the invalid field, counted from 1; 0 if unknown.
        reason: What is wrong, with the name of the field.
    """

    def __init__(self, path: str, reason: str, line: int = 0) -> None:
        super().__init__(f"{path}:{line}: {reason}" if line else f"{path}: {reason}")
        self.path = path
        self.line = line
        self.reason = reason


class RestartRequiredError(ConfigError):
    """A reload would change a field that only a restart can change.

    Attributes:
        field: The name of the field.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
