"""Class and group of a session from what its ClientHello asks for. Free of I/O and time.

The operator's rules are tried in their order; the first that fits decides. A session without a name that can be
used, and one that hides its own (ECH), has the default class and no group.
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
    """One rule: what it asks for, and what follows."""

    names: tuple[str, ...] = ()  # exact, or `*.` and a suffix for any number of labels before it
    alpn: tuple[str, ...] = ()  # one of these is offered
    class_index: int | None = None  # None: the default class
    group_label: int | None = None  # the label of the name that is the group; 0: the first, -1: the last
    group_token: re.Pattern[str] | None = None  # its one bracket is the group
    group_from_alpn: bool = False  # the token is looked for in the protocols, not in the name

    def matches(self, client_hello: ClientHello) -> bool:
        if self.names and not any(_name_matches(client_hello.server_name, n) for n in self.names):
            return False
        return not self.alpn or any(p in self.alpn for p in client_hello.alpn)

    def group(self, client_hello: ClientHello) -> str | None:
        """The group's label or token; None where there is none."""
        if self.group_label is not None:
            labels = client_hello.server_name.split(".") if client_hello.server_name else []
            inside = -len(labels) <= self.group_label < len(labels)
            return labels[self.group_label] if inside else None
        if self.group_token is not None:
            for text_ in client_hello.alpn if self.group_from_alpn else (client_hello.server_name,):
                if m := self.group_token.search(text_[:255]):
                    return m[1] or None
        return None


@dataclass(frozen=True, slots=True)
class SessionRules:
    default_class_index: int  # the class's number in the settings
    rules: tuple[SessionRule, ...] = ()

    @property
    def need_client_hello(self) -> bool:
        """Whether the ClientHello has to be whole before a session can be placed."""
        return bool(self.rules)

    def classify(self, client_hello: ClientHello) -> tuple[int, str | None]:
        """Class and group of a session."""
        if not client_hello.encrypted:
            for rule in self.rules:
                if rule.matches(client_hello):
                    return self.default_class_index if rule.class_index is None else rule.class_index, rule.group(
                        client_hello
                    )
        return self.default_class_index, None


def _name_matches(name: str, wanted: str) -> bool:
    return name.endswith(wanted[1:]) and len(name) > len(wanted) - 1 if wanted.startswith("*") else name == wanted


def parse_rules(m: Message, classes: Mapping[str, int], default: int) -> SessionRules:
    """The `[[rules]]` of the operator's file. A `DecodeError` names the field."""
    values = array(m, "rules", [])
    if len(values) > MAX_RULES:
        raise DecodeError(f"rules must be {MAX_RULES} at most, not {len(values)}")
    rules = []
    for i, value in enumerate(values):
        try:
            rules.append(_parse_rule(value, classes))
        except DecodeError as e:
            raise DecodeError(f"rules[{i}].{e}") from None
    return SessionRules(default, tuple(rules))


def _parse_rule(m: object, classes: Mapping[str, int]) -> SessionRule:
    if type(m) is not dict:
        raise DecodeError(f"sni: a rule must be a table, not {m!r:.60}")
    if unknown := sorted(set(m) - KEYS):
        raise DecodeError(f"{unknown[0]} is not a setting")
    names = tuple(n.lower() for n in _strings(m, "sni"))
    for n in names:
        if not _NAME.fullmatch(n):
            raise DecodeError(f"sni must be a host name, also with *. before it, not {n!r:.60}")
    class_index = None
    if "class" in m:
        class_index = classes.get(text(m, "class"))
        if class_index is None:
            raise DecodeError(f"class must be one of {', '.join(classes)}, not {m['class']!r:.60}")
    label = integer(m, "group_label", None)
    if label is not None and not -32 <= label < 32:
        raise DecodeError(f"group_label must be -32 to 31, not {label}")
    token = _pattern(m) if "group_token" in m else None
    if label is not None and token is not None:
        raise DecodeError("group_token: there is a group_label already; a group comes from one of them")
    source = m.get("group_from", "sni")
    if source not in ("sni", "alpn") or (source == "alpn" and token is None):
        raise DecodeError("group_from must be sni or, with a group_token, alpn")
    if class_index is None and label is None and token is None:
        raise DecodeError("class: a rule needs a class, a group_label or a group_token")
    return SessionRule(names, _strings(m, "alpn"), class_index, label, token, source == "alpn")


def _strings(m: Message, name: str) -> tuple[str, ...]:
    """A string, or several."""
    value = m.get(name, [])
    values = value if type(value) is list else [value]
    if any(type(v) is not str or not 0 < len(v) <= 255 for v in values) or (name in m and not values):
        raise DecodeError(f"{name} must be a string or an array of strings")
    return tuple(values)


def _pattern(m: Message) -> re.Pattern[str]:
    value = text(m, "group_token")
    try:
        if len(value) > MAX_PATTERN_CHARACTERS:
            raise re.error(f"over {MAX_PATTERN_CHARACTERS} characters")
        pattern = re.compile(value)
        if pattern.groups != 1:
            raise re.error("needs exactly one bracket")
    except re.error as e:
        raise DecodeError(f"group_token must be a regular expression with one bracket: {e}") from None
    return pattern
