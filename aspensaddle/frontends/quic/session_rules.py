"""Rules that assign a request class and a session group to a session by its ClientHello. No I/O and no clock.

The first rule that matches, in the order of the operator's file, decides. A session without a usable server name
matches only rules without `sni`. One that hides its server name (ECH) matches none, so that it gets the default class
and no group.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from aspensaddle.frontends.quic.client_hello import ClientHello
from aspensaddle.support.json_fields import DecodeError, Message, array, integer, text

KEYS = {"sni", "alpn", "class", "group_label", "group_token", "group_from"}
MAX_RULES = 4096
MAX_PATTERN_CHARACTERS = 128

_NAME = re.compile(r"(\*\.)?[a-z0-9_-]{1,63}(\.[a-z0-9_-]{1,63})*")


@dataclass(frozen=True, slots=True)
class SessionRule:
    """One rule: the conditions on a ClientHello, and the class and group of sessions that meet them."""

    server_names: tuple[str, ...] = ()  # exact names, or `*.` and a suffix after any number of labels
    alpn: tuple[str, ...] = ()  # protocols of which the client has to offer one
    class_index: int | None = None  # None for the default class
    group_label: int | None = None  # index of the group in the server name's labels; 0: first, -1: last
    group_token: re.Pattern[str] | None = None  # pattern whose only capturing group is the session group
    group_from_alpn: bool = False  # the pattern is applied to the protocols, not to the server name

    def matches(self, client_hello: ClientHello) -> bool:
        """Return whether a ClientHello meets the conditions."""
        if self.server_names and not any(
            _name_matches(client_hello.server_name, pattern) for pattern in self.server_names
        ):
            return False
        return not self.alpn or any(protocol in self.alpn for protocol in client_hello.alpn)

    def group(self, client_hello: ClientHello) -> str | None:
        """Return the session group that the ClientHello gives, or None."""
        if self.group_label is not None:
            labels = client_hello.server_name.split(".") if client_hello.server_name else []
            has_label = -len(labels) <= self.group_label < len(labels)
            return labels[self.group_label] if has_label else None
        if self.group_token is not None:
            for source in client_hello.alpn if self.group_from_alpn else (client_hello.server_name,):
                if found := self.group_token.search(source[:255]):
                    return found[1] or None
        return None


@dataclass(frozen=True, slots=True)
class SessionRules:
    """The rules in their order, and the class of sessions that none gives a class."""

    default_class_index: int
    rules: tuple[SessionRule, ...] = ()

    @property
    def need_client_hello(self) -> bool:
        """Whether a session can be classified only when its ClientHello is complete."""
        return bool(self.rules)

    def classify(self, client_hello: ClientHello) -> tuple[int, str | None]:
        """Return the class index and the session group of a session."""
        if not client_hello.encrypted:
            for rule in self.rules:
                if rule.matches(client_hello):
                    return (self.default_class_index if rule.class_index is None else rule.class_index), rule.group(
                        client_hello
                    )
        return self.default_class_index, None


def _name_matches(name: str, pattern: str) -> bool:
    return name.endswith(pattern[1:]) and len(name) > len(pattern) - 1 if pattern.startswith("*") else name == pattern


def parse_rules(table: Message, classes: Mapping[str, int], default_class_index: int) -> SessionRules:
    """Parse the `[[rules]]` of the operator's file.

    Args:
        table: the file's top-level table.
        classes: class indexes by name.
        default_class_index: the class of sessions that no rule gives a class.

    Raises:
        DecodeError: a value is not valid; the message starts with the field.
    """
    values = array(table, "rules", [])
    if len(values) > MAX_RULES:
        raise DecodeError(f"rules must have at most {MAX_RULES} entries, not {len(values)}")
    rules = []
    for index, value in enumerate(values):
        try:
            rules.append(_parse_rule(value, classes))
        except DecodeError as error:
            raise DecodeError(f"rules[{index}].{error}") from None
    return SessionRules(default_class_index, tuple(rules))


def _parse_rule(table: object, classes: Mapping[str, int]) -> SessionRule:
    if type(table) is not dict:
        raise DecodeError(f"sni: a rule must be a table, not {table!r:.60}")
    if unknown := sorted(set(table) - KEYS):
        raise DecodeError(f"{unknown[0]} is not a setting")
    server_names = tuple(name.lower() for name in _strings(table, "sni"))
    for name in server_names:
        if not _NAME.fullmatch(name):
            raise DecodeError(f"sni must be a host name, or *. and a host name, not {name!r:.60}")
    class_index = None
    if "class" in table:
        class_index = classes.get(text(table, "class"))
        if class_index is None:
            raise DecodeError(f"class must be one of {', '.join(classes)}, not {table['class']!r:.60}")
    label = integer(table, "group_label", None)
    if label is not None and not -32 <= label < 32:
        raise DecodeError(f"group_label must be -32 to 31, not {label}")
    token = _pattern(table) if "group_token" in table else None
    if label is not None and token is not None:
        raise DecodeError("group_token cannot be combined with group_label")
    source = table.get("group_from", "sni")
    if source not in ("sni", "alpn") or (source == "alpn" and token is None):
        raise DecodeError("group_from must be sni or, with a group_token, alpn")
    if class_index is None and label is None and token is None:
        raise DecodeError("class: a rule needs a class, a group_label or a group_token")
    return SessionRule(server_names, _strings(table, "alpn"), class_index, label, token, source == "alpn")


def _strings(table: Message, name: str) -> tuple[str, ...]:
    """Return a field that is one string or an array of strings; empty if it is missing."""
    value = table.get(name, [])
    values = value if type(value) is list else [value]
    if any(type(item) is not str or not 0 < len(item) <= 255 for item in values) or (name in table and not values):
        raise DecodeError(f"{name} must be a string or an array of strings")
    return tuple(values)


def _pattern(table: Message) -> re.Pattern[str]:
    value = text(table, "group_token")
    try:
        if len(value) > MAX_PATTERN_CHARACTERS:
            raise re.error(f"it has more than {MAX_PATTERN_CHARACTERS} characters")
        pattern = re.compile(value)
        if pattern.groups != 1:
            raise re.error("it needs exactly one capturing group")
    except re.error as error:
        raise DecodeError(f"group_token must be a regular expression with one capturing group: {error}") from None
    return pattern
