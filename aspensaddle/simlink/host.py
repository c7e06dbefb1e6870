"""Hosts balancers behind the simulator's wire: a batch a line in, a reply a line out."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

import orjson

from aspensaddle.core.balance import Balancer
from aspensaddle.core.interface import Action, Started
from aspensaddle.core.machines import load_machines
from aspensaddle.core.settings import parse_settings
from aspensaddle.simlink.wire import EVENTS, Lists, parse_entries, render
from aspensaddle.support.decode import DecodeError, Message, array, integer, number, obj, text


class Host:
    """The balancers of one process. They share the numbered server lists of the wire and nothing else."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: Lists = {}
        self.machines = load_machines()

    def reply(self, line: bytes) -> bytes:
        """Answer one batch. Raises `DecodeError` where the batch is not what the wire says."""
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as e:
            raise DecodeError(f"not JSON: {e}") from None
        if type(batch) is not dict:
            raise DecodeError("a batch must be an object")
        now = number(batch, "t")
        out = []
        for i, group in enumerate(array(batch, "balancers")):
            where = f"balancers[{i}]"
            try:
                if type(group) is not dict:
                    raise DecodeError("must be an object")
                instance = integer(group, "balancer")
                events = array(group, "in")
            except DecodeError as e:
                raise DecodeError(f"{where}: {e}") from None
            output: list[Message] = []
            for k, message in enumerate(events):
                try:
                    actions = self._handle(now, instance, message)
                except DecodeError as e:
                    raise DecodeError(f"{where}.in[{k}]: {e}") from None
                except Exception as e:  # a fault of the module is told, never swallowed
                    traceback.print_exc()
                    output.append({"kind": "INTERNAL_ERROR", "reason-text": f"{type(e).__name__}: {e}"})
                    break
                if actions:
                    output.extend(map(render, actions))
            if output:
                out.append({"balancer": instance, "output": output})
        return orjson.dumps({"balancers": out}) + b"\n"

    def _handle(self, now: float, instance: int, message: Message) -> list[Action]:
        if type(message) is not dict:
            raise DecodeError("an event must be an object")
        kind = text(message, "kind")
        parse = EVENTS.get(kind)
        if parse is not None:
            balancer = self.balancers.get(instance)
            if balancer is None:
                raise DecodeError(f"{kind} for balancer {instance}, which was not launched")
            event = parse(message, self.lists)
            return [] if event is None else balancer.handle(now, event)
        if kind == "PAGE":
            self.lists[integer(message, "set-id")] = parse_entries(message)
        elif kind == "KILL":
            self.balancers.pop(instance, None)
        elif kind == "LAUNCH":
            seed, options = integer(message, "init-seed"), obj(message, "options")
            try:
                settings = self.machines.into(parse_settings(options))
            except ValueError as e:
                raise DecodeError(f"options: {e}") from None
            balancer = self.balancers[instance] = Balancer(settings, seed)
            return balancer.handle(now, Started())
        else:
            raise DecodeError(f"unknown kind {kind!r:.60}")
        return []


def run(source: BinaryIO, sink: BinaryIO) -> int:
    host = Host()
    for count, line in enumerate(source, 1):
        try:
            answer = host.reply(line)
        except DecodeError as e:
            print(f"aspensaddle: batch {count}: {e}", file=sys.stderr)
            return 1
        sink.write(answer)
        sink.flush()
    return 0


def main() -> int:
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)  # few cycles arise; frequent passes only cost CPU
    return run(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
