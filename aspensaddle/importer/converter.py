"""Converts an nginx configuration file to the balancer's configuration."""

from __future__ import annotations

from typing import NamedTuple

from aspensaddle.daemon.config import parse_config
from aspensaddle.importer.directives import parse_file
from aspensaddle.importer.mapping import MappingError, map_configuration
from aspensaddle.importer.problems import Problem
from aspensaddle.importer.reader import ConfigurationReader
from aspensaddle.support.json_fields import Message


class Conversion(NamedTuple):
    """The result of a conversion: a configuration, or the problems that prevent one."""

    configuration: Message
    problems: list[Problem]


def convert(path: str, upstream: str | None = None, balancer_name: str = "n0") -> Conversion:
    """Convert the file at `path`; `upstream` selects one if its locations pass to several.

    Raises:
        DecodeError: If the result is not a valid configuration of the balancer.
    """
    directives, problems = parse_file(path)
    reader = ConfigurationReader()
    reader.read(directives)
    reader.finish()
    problems += reader.problems
    if problems:
        return Conversion({}, problems)
    try:
        configuration = map_configuration(path, reader.configuration, upstream, balancer_name)
    except MappingError as error:
        return Conversion({}, list(error.problems))
    parse_config(configuration)
    return Conversion(configuration, [])
