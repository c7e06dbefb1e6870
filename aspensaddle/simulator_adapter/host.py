"""Hosts balancers behind the simulator's wire: a batch a line in, a reply a line out."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import Any, BinaryIO

import orjson

from aspensaddle.core.actions import Action
from aspensaddle.core.balancer import Balancer
from aspensaddle.core.events import Started
from aspensaddle.core.machine_types import load_machine_types
from aspensaddle.core.settings_parser import parse_settings
from aspensaddle.simulator_adapter.wire import EVENT_PARSERS, EndpointLists, parse_endpoints, render
from aspensaddle.support.json_fields import DecodeError, Message, array, integer, number, obj, text


class Host:
    """The balancers of one process. They share the numbered endpoint lists of the wire and nothing else."""

    def __init__(self) -> None:
        """Start without balancers. Raises `ConfigError` where the operator's file of machine types is wrong."""
        self._balancers: dict[int, Balancer] = {}
        self._endpoint_lists: EndpointLists = {}
        self._machine_types = load_machine_types()

    def reply(self, line: bytes) -> bytes:
        """Return the reply to one batch. Raises `DecodeError` naming the field that is not as the wire has it."""
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise DecodeError(f"not JSON: {error}") from None
        if type(batch) is not dict:
            raise DecodeError("a batch must be an object")
        now = number(batch, "t")
        replies = []
        for index, group in enumerate(array(batch, "balancers")):
            instance, output = self._reply_of_balancer(now, f"balancers[{index}]", group)
            if output:
                replies.append({"balancer": instance, "output": output})
        return orjson.dumps({"balancers": replies}) + b"\n"

    def _reply_of_balancer(self, now: float, path: str, group: Any) -> tuple[int, list[Message]]:
        try:
            if type(group) is not dict:
                raise DecodeError("must be an object")
            instance = integer(group, "balancer")
            events = array(group, "in")
        except DecodeError as error:
            raise DecodeError(f"{path}: {error}") from None
        output: list[Message] = []
        for index, message in enumerate(events):
            try:
                actions = self._handle(now, instance, message)
            except DecodeError as error:
                raise DecodeError(f"{path}.in[{index}]: {error}") from None
            except Exception as error:
                traceback.print_exc()
                output.append({"kind": "INTERNAL_ERROR", "reason-text": f"{type(error).__name__}: {error}"})
                break
            output.extend(map(render, actions))
        return instance, output

    def _handle(self, now: float, instance: int, message: Any) -> list[Action]:
        if type(message) is not dict:
            raise DecodeError("an event must be an object")
        kind = text(message, "kind")
        if kind in EVENT_PARSERS:
            return self._handle_event(now, instance, kind, message)
        if kind == "LAUNCH":
            return self._launch(now, instance, message)
        if kind == "PAGE":
            self._endpoint_lists[integer(message, "set-id")] = parse_endpoints(message)
        elif kind == "KILL":
            self._balancers.pop(instance, None)
        else:
            raise DecodeError(f"unknown kind {kind!r:.60}")
        return []

    def _handle_event(self, now: float, instance: int, kind: str, message: Message) -> list[Action]:
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise DecodeError(f"{kind} for balancer {instance}, which was not launched")
        event = EVENT_PARSERS[kind](message, self._endpoint_lists)
        return [] if event is None else balancer.handle(now, event)

    def _launch(self, now: float, instance: int, message: Message) -> list[Action]:
        seed = integer(message, "init-seed")
        options = obj(message, "options")
        try:
            settings = self._machine_types.apply_to(parse_settings(options))
        except DecodeError as error:
            raise DecodeError(f"options.{error}") from None
        balancer = self._balancers[instance] = Balancer(settings, seed)
        return balancer.handle(now, Started())


def run(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer each line of `source` on `sink` until it ends; return the exit status."""
    host = Host()
    for batch_number, line in enumerate(source, 1):
        try:
            reply = host.reply(line)
        except DecodeError as error:
            print(f"aspensaddle: batch {batch_number}: {error}", file=sys.stderr)
            return 1
        sink.write(reply)
        sink.flush()
    return 0


def main() -> int:
    """Serve standard input and output; return the exit status."""
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)  # few reference cycles arise, and collections cost processor time
    return run(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
