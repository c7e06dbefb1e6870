"""The adapter as a process: replies, bad input, and the same answers however balancers are spread."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent

OPTIONS = {
    "fleet-size": 3,
    "failure-domains": ["a", "b"],
    "locality": 0,
    "discovery": "pushed",
    "unknown-key": {"x": 1},
    "family-info": {"groups": True, "message-aim": [0.06], "mode": "proxy", "tenant-quota-connections": [None]},
    "guarantees": {
        "answer-slack": 0.016,
        "cold-share": 0.2,
        "drain-grace": 0.5,
        "fall": 2.0,
        "must-ask-in": 10.0,
        "tip-multiple": 3.0,
        "warm-after": 20.0,
    },
    "lanes": [{"aim": 0.5, "deadline": 3.0, "group": "all", "repeat": "pure", "window": 5.0, "worth": 1.0}],
    "limits": {"connect-timeout": 0.1, "most-tries": 4, "max-retry-after": 1.0, "retry-after": True},
}


def batch(t, *events, balancer=0):
    return {"t": t, "balancers": [{"balancer": balancer, "in": list(events)}]}


def page(*servers, set_id=0, phase="Ready"):
    return {
        "kind": "PAGE",
        "set-id": set_id,
        "items": [{"server": s, "region-part": s % 2, "phase": phase, "capacity-hint": 1} for s in servers],
    }


def changed(scope="SAVED", set_id=0):
    return {"kind": "BACKENDS_CHANGED", "scope": scope, "set-id": set_id, "seq-no": 1}


def launch(seed=1, **options):
    return {"kind": "LAUNCH", "init-seed": seed, "options": OPTIONS | options}


def item(ref, **more):
    return {"kind": "WORK_ITEM", "ref": ref, "grade": 0, "time-left": 3.0} | more


def run(*batches, hash_seed="0", raw=None):
    data = raw if raw is not None else "".join(json.dumps(b) + "\n" for b in batches).encode()
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "aspensaddle.simulator_adapter.host"],
        input=data,
        cwd=ROOT,
        env=env,
        capture_output=True,
        timeout=60,
    )


def outputs(done):
    assert done.returncode == 0, done.stderr
    return [{g["balancer"]: g["output"] for g in json.loads(line)["balancers"]} for line in done.stdout.splitlines()]


def test_end_of_input_and_empty_batches():
    assert run(raw=b"").returncode == 0
    assert run({"t": 1.0, "balancers": []}).stdout == b'{"balancers":[]}\n'


def test_a_request_is_sent_and_its_refusal_retried():
    start = batch(5.0, launch(), page(1, 2, 3), changed(), item("t/a", **{"partition-key": 7, "weight-hint": 0.01}))
    (first,) = outputs(run(start))
    sent = first[0][-1]
    assert sent["kind"] == "TRANSMIT" and sent["ref"] == "t/a"
    full = {
        "kind": "RETURNED",
        "ref": "t/a",
        "n": 0,
        "server": sent["server"],
        "state-code": "overloaded",
        "lag": 0.01,
        "usage": {"x0": 0.5},
    }
    second = outputs(run(start, batch(5.1, full)))[1]
    assert second[0][0]["kind"] == "TRANSMIT" and second[0][0]["server"] != sent["server"]


def test_numbered_lists_are_reused_within_a_batch():
    events = [launch(), page(1), changed(), page(2), changed("FULL"), item("t/a")]
    (reply,) = outputs(run(batch(5.0, *events)))
    assert reply[0][-1]["server"] == 2


def test_kill_and_launch_in_one_batch_forget_everything():
    first = batch(5.0, launch(), page(1), changed(), item("t/a"))
    second = batch(
        6.0,
        {"kind": "KILL"},
        launch(2),
        page(2, set_id=4),
        changed(set_id=4),
        item("t/b"),
        {"kind": "RETURNED", "ref": "t/a", "n": 0, "server": 1, "state-code": "broken", "lag": 1},
    )
    reply = outputs(run(first, second))[1]
    assert [a["server"] for a in reply[0] if a["kind"] == "TRANSMIT"] == [2]


def test_every_event_is_taken():
    end = {
        "kind": "RETURNED",
        "ref": "t/o",
        "n": 0,
        "server": 1,
        "state-code": "withdrawn",
        "lag": 2,
        "finished": True,
    }
    events = [
        launch(),
        page(1, 2),
        changed(),
        changed("FAILED"),
        changed("INCREMENTAL"),
        {"kind": "ADOPTED", "ref": "t/o", "grade": 0, "server": 1, "weight-hint": 0.5},
        {"kind": "STATUS_NOTE", "ref": "t/o", "n": 0, "server": 1, "amount": 900.0, "topic": 1},
        {"kind": "STATUS_NOTE", "ref": "t/o", "n": 0, "server": 1, "amount": 90.0, "topic": 2},
        {"kind": "STATUS_NOTE", "ref": "t/o", "n": 0, "server": 1, "amount": 1.0, "topic": 99},
        {"kind": "PROBE_DONE", "state-code": "success", "server": 1, "lag": 0.1, "usage": {"x0": 0.1}},
        {"kind": "DATAGRAM", "src-peer": 2, "raw": "00ff"},
        {"kind": "WAKEUP", "label": "gone"},
        item("t/m", **{"mid-flow": True, "returned": True, "repeat": True, "channel": 4}),
        {"kind": "HEAD_RECEIVED", "ref": "t/m", "n": 0, "server": 1, "lag": 0.1},
        {"kind": "CLIENT_GONE", "ref": "t/m"},
        {"kind": "CLIENT_GONE", "ref": "t/never"},
        end,
        end,
    ]
    outputs(run(batch(5.0, *events)))


BAD = {
    "not JSON": b"{oops\n",
    "truncated": b'{"t": 1.0, "balancers": [{"bal\n',
    "not UTF-8": b'{"t": 1.0, "x": "\xff\xfe"}\n',
    "not an object": b"[1, 2]\n",
    "no clock": b'{"balancers": []}\n',
    "clock a string": b'{"t": "now", "balancers": []}\n',
    "no groups": b'{"t": 1.0}\n',
    "group not an object": b'{"t": 1.0, "balancers": [3]}\n',
    "unknown kind": json.dumps(batch(1.0, {"kind": "NONSENSE"})).encode(),
    "kind missing": json.dumps(batch(1.0, {})).encode(),
    "event not an object": json.dumps(batch(1.0, 7)).encode(),
    "never launched": json.dumps(batch(1.0, item("t/a"))).encode(),
    "no id": json.dumps(batch(1.0, launch(), {"kind": "WORK_ITEM", "time-left": 1.0})).encode(),
    "time a string": json.dumps(batch(1.0, launch(), item("t/a") | {"time-left": "3"})).encode(),
    "flag a number": json.dumps(batch(1.0, launch(), item("t/a", **{"mid-flow": 1}))).encode(),
    "unknown outcome": json.dumps(
        batch(1.0, launch(), {"kind": "RETURNED", "ref": "t/a", "n": 0, "server": 1, "state-code": "maybe", "lag": 1})
    ).encode(),
    "list not sent": json.dumps(batch(1.0, launch(), changed(set_id=3))).encode(),
    "bytes not hex": json.dumps(batch(1.0, launch(), {"kind": "DATAGRAM", "src-peer": 1, "raw": "zz"})).encode(),
    "no classes": json.dumps(batch(1.0, launch(lanes=[]))).encode(),
    "cold share": json.dumps(batch(1.0, launch(guarantees={"cold-share": 1.5}))).encode(),
}


@pytest.mark.parametrize("name", list(BAD))
def test_bad_input_ends_with_one_plain_line(name):
    done = run(raw=b'{"t": 0.5, "balancers": []}\n' + BAD[name])
    assert done.returncode == 1
    assert done.stdout == b'{"balancers":[]}\n'
    (line,) = done.stderr.decode().splitlines()
    assert line.startswith("aspensaddle: batch 2: ")


def test_bad_input_says_where():
    done = run(batch(1.0, launch(), item("t/a") | {"grade": "x"}))
    assert b"balancers[0].in[1]: grade must be an integer" in done.stderr


def test_a_fault_of_the_module_is_told():
    """An exception inside the module must not be swallowed."""
    code = (
        "import sys; from aspensaddle.simulator_adapter import host as adapter; from aspensaddle.core import balancer as balance; "
        "balance.Balancer._tick = lambda *a: 1 / 0; sys.exit(adapter.main())"
    )
    data = json.dumps(batch(1.0, launch(), {"kind": "WAKEUP", "label": "tick"})).encode()
    done = subprocess.run([sys.executable, "-c", code], input=data, cwd=ROOT, capture_output=True, timeout=60)
    (reply,) = outputs(done)
    assert reply[0][-1] == {"kind": "INTERNAL_ERROR", "reason-text": "ZeroDivisionError: division by zero"}
    assert b"Traceback" in done.stderr


def busy_day(balancers):
    """Three balancers of the same fleet with losses, refusals and ticks."""
    yield {
        "t": 1.0,
        "balancers": [
            {"balancer": b, "in": [launch(b + 1, index=b), page(*range(1, 13)), changed()]} for b in balancers
        ],
    }
    for step in range(40):
        groups = []
        for b in balancers:
            ref = f"t/{b}x{step}"
            events = [item(ref, channel=step % 5), {"kind": "WAKEUP", "label": "tick"}]
            for server in range(1, 13):
                code = ["overloaded", "unreachable", "timed_out"][(step + server) % 3]
                events.append(
                    {"kind": "RETURNED", "ref": ref, "n": 0, "server": server, "state-code": code, "lag": 0.1}
                )
            groups.append({"balancer": b, "in": events})
        yield {"t": 1.5 + step / 2, "balancers": groups}


def test_balancers_share_nothing_in_a_process_and_order_by_no_hash():
    together = outputs(run(*busy_day([0, 1, 2])))
    assert together == outputs(run(*busy_day([0, 1, 2]), hash_seed="12345"))
    apart = [outputs(run(*busy_day([b]), hash_seed=str(b))) for b in range(3)]
    for step, reply in enumerate(together):
        for b in range(3):
            assert reply.get(b) == apart[b][step].get(b)
