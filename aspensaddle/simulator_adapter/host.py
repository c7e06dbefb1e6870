"""Runs balancers for the simulator: each input line is a batch of events, each output line the reply to one."""

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
from aspensaddle.simulator_adapter.wire import EVENT_PARSERS, EndpointLists, encode_action, parse_endpoints
from aspensaddle.support.json_fields import DecodeError, Message, array, integer, number, obj, text


class BalancerHost:
    """The balancers of one process. They share only the numbered endpoint lists that the simulator sent."""

    def __init__(self) -> None:
        """Start without balancers. Raises `ConfigError` if the operator's file of machine types is not valid."""
        self._balancers: dict[int, Balancer] = {}
        self._endpoint_lists: EndpointLists = {}
        self._machine_types = load_machine_types()

    def reply(self, line: bytes) -> bytes:
        """Return the reply to one batch. Raises `DecodeError` with the name of the field that is not valid."""
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise DecodeError(f"not JSON: {error}") from None
        if type(batch) is not dict:
            raise DecodeError("a batch must be an object")
        now = number(batch, "t")
        replies = []
        for index, balancer_batch in enumerate(array(batch, "balancers")):
            balancer_id, output = self._handle_balancer_batch(now, f"balancers[{index}]", balancer_batch)
            if output:
                replies.append({"balancer": balancer_id, "output": output})
        return orjson.dumps({"balancers": replies}) + b"\n"

    def _handle_balancer_batch(self, now: float, field_path: str, balancer_batch: Any) -> tuple[int, list[Message]]:
        try:
            if type(balancer_batch) is not dict:
                raise DecodeError("must be an object")
            balancer_id = integer(balancer_batch, "balancer")
            events = array(balancer_batch, "in")
        except DecodeError as error:
            raise DecodeError(f"{field_path}: {error}") from None
        output: list[Message] = []
        for index, message in enumerate(events):
            try:
                actions = self._handle_message(now, balancer_id, message)
            except DecodeError as error:
                raise DecodeError(f"{field_path}.in[{index}]: {error}") from None
            except Exception as error:
                traceback.print_exc()
                output.append({"kind": "INTERNAL_ERROR", "reason-text": f"{type(error).__name__}: {error}"})
                break
            output.extend(map(encode_action, actions))
        return balancer_id, output

    def _handle_message(self, now: float, balancer_id: int, message: Any) -> list[Action]:
        if type(message) is not dict:
            raise DecodeError("an event must be an object")
        kind = text(message, "kind")
        if kind in EVENT_PARSERS:
            return self._handle_event(now, balancer_id, kind, message)
        if kind == "LAUNCH":
            return self._launch(now, balancer_id, message)
        if kind == "PAGE":
            self._endpoint_lists[integer(message, "set-id")] = parse_endpoints(message)
        elif kind == "KILL":
            self._balancers.pop(balancer_id, None)
        else:
            raise DecodeError(f"kind {kind!r:.60} is unknown")
        return []

    def _handle_event(self, now: float, balancer_id: int, kind: str, message: Message) -> list[Action]:
        balancer = self._balancers.get(balancer_id)
        if balancer is None:
            raise DecodeError(f"{kind} for balancer {balancer_id}, which has not been launched")
        event = EVENT_PARSERS[kind](message, self._endpoint_lists)
        return [] if event is None else balancer.handle(now, event)

    def _launch(self, now: float, balancer_id: int, message: Message) -> list[Action]:
        seed = integer(message, "init-seed")
        options = obj(message, "options")
        try:
            settings = self._machine_types.apply_to(parse_settings(options))
        except DecodeError as error:
            raise DecodeError(f"options.{error}") from None
        balancer = self._balancers[balancer_id] = Balancer(settings, seed)
        return balancer.handle(now, Started())


def run(input_stream: BinaryIO, output_stream: BinaryIO) -> int:
    """Write a reply to `output_stream` for each line of `input_stream`; return the exit code."""
    host = BalancerHost()
    for batch_number, line in enumerate(input_stream, 1):
        try:
            reply = host.reply(line)
        except DecodeError as error:
            print(f"aspensaddle: batch {batch_number}: {error}", file=sys.stderr)
            return 1
        output_stream.write(reply)
        output_stream.flush()
    return 0


def main() -> int:
    """Serve standard input and output; return the exit code."""
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)  # the code makes few reference cycles, and collections cost CPU time
    return run(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
