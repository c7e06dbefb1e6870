"""The simulator adapter as a process: its replies, its errors for invalid input, and no influence between balancers."""

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


def endpoint_page(*servers, set_id=0, phase="Ready"):
    return {
        "kind": "PAGE",
        "set-id": set_id,
        "items": [
            {"server": server, "region-part": server % 2, "phase": phase, "capacity-hint": 1} for server in servers
        ],
    }


def endpoints_changed(scope="SAVED", set_id=0):
    return {"kind": "BACKENDS_CHANGED", "scope": scope, "set-id": set_id, "seq-no": 1}


def launch(seed=1, **options):
    return {"kind": "LAUNCH", "init-seed": seed, "options": OPTIONS | options}


def request(ref, **fields):
    return {"kind": "WORK_ITEM", "ref": ref, "grade": 0, "time-left": 3.0} | fields


def run_adapter(*batches, hash_seed="0", raw=None):
    data = raw if raw is not None else "".join(json.dumps(message) + "\n" for message in batches).encode()
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "aspensaddle.simulator_adapter.host"],
        input=data,
        cwd=ROOT,
        env=env,
        capture_output=True,
        timeout=60,
    )


def outputs(completed):
    assert completed.returncode == 0, completed.stderr
    return [
        {reply["balancer"]: reply["output"] for reply in json.loads(line)["balancers"]}
        for line in completed.stdout.splitlines()
    ]


def test_empty_input_gives_exit_code_0_and_an_empty_batch_gets_an_empty_reply():
    assert run_adapter(raw=b"").returncode == 0
    assert run_adapter({"t": 1.0, "balancers": []}).stdout == b'{"balancers":[]}\n'


def test_a_request_that_its_server_rejects_is_retried_on_another_server():
    start = batch(
        5.0,
        launch(),
        endpoint_page(1, 2, 3),
        endpoints_changed(),
        request("t/a", **{"partition-key": 7, "weight-hint": 0.01}),
    )
    (first,) = outputs(run_adapter(start))
    sent = first[0][-1]
    assert sent["kind"] == "TRANSMIT" and sent["ref"] == "t/a"
    rejection = {
        "kind": "RETURNED",
        "ref": "t/a",
        "n": 0,
        "server": sent["server"],
        "state-code": "overloaded",
        "lag": 0.01,
        "usage": {"x0": 0.5},
    }
    second = outputs(run_adapter(start, batch(5.1, rejection)))[1]
    assert second[0][0]["kind"] == "TRANSMIT" and second[0][0]["server"] != sent["server"]


def test_a_list_number_used_again_in_a_batch_names_the_newer_list():
    events = [
        launch(),
        endpoint_page(1),
        endpoints_changed(),
        endpoint_page(2),
        endpoints_changed("FULL"),
        request("t/a"),
    ]
    (reply,) = outputs(run_adapter(batch(5.0, *events)))
    assert reply[0][-1]["server"] == 2


def test_a_balancer_killed_and_launched_in_one_batch_keeps_no_state():
    first = batch(5.0, launch(), endpoint_page(1), endpoints_changed(), request("t/a"))
    second = batch(
        6.0,
        {"kind": "KILL"},
        launch(2),
        endpoint_page(2, set_id=4),
        endpoints_changed(set_id=4),
        request("t/b"),
        {"kind": "RETURNED", "ref": "t/a", "n": 0, "server": 1, "state-code": "broken", "lag": 1},
    )
    reply = outputs(run_adapter(first, second))[1]
    assert [action["server"] for action in reply[0] if action["kind"] == "TRANSMIT"] == [2]


def test_every_kind_of_event_is_accepted():
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
        endpoint_page(1, 2),
        endpoints_changed(),
        endpoints_changed("FAILED"),
        endpoints_changed("INCREMENTAL"),
        {"kind": "ADOPTED", "ref": "t/o", "grade": 0, "server": 1, "weight-hint": 0.5},
        {"kind": "STATUS_NOTE", "ref": "t/o", "n": 0, "server": 1, "amount": 900.0, "topic": 1},
        {"kind": "STATUS_NOTE", "ref": "t/o", "n": 0, "server": 1, "amount": 90.0, "topic": 2},
        {"kind": "STATUS_NOTE", "ref": "t/o", "n": 0, "server": 1, "amount": 1.0, "topic": 99},
        {"kind": "PROBE_DONE", "state-code": "success", "server": 1, "lag": 0.1, "usage": {"x0": 0.1}},
        {"kind": "DATAGRAM", "src-peer": 2, "raw": "00ff"},
        {"kind": "WAKEUP", "label": "gone"},
        request("t/m", **{"mid-flow": True, "returned": True, "repeat": True, "channel": 4}),
        {"kind": "HEAD_RECEIVED", "ref": "t/m", "n": 0, "server": 1, "lag": 0.1},
        {"kind": "CLIENT_GONE", "ref": "t/m"},
        {"kind": "CLIENT_GONE", "ref": "t/never"},
        end,
        end,
    ]
    outputs(run_adapter(batch(5.0, *events)))


INVALID_BATCHES = {
    "not JSON": b"{oops\n",
    "truncated": b'{"t": 1.0, "balancers": [{"bal\n',
    "not UTF-8": b'{"t": 1.0, "x": "\xff\xfe"}\n',
    "not an object": b"[1, 2]\n",
    "no time": b'{"balancers": []}\n',
    "time not a number": b'{"t": "now", "balancers": []}\n',
    "no balancers": b'{"t": 1.0}\n',
    "balancer not an object": b'{"t": 1.0, "balancers": [3]}\n',
    "unknown kind of event": json.dumps(batch(1.0, {"kind": "NONSENSE"})).encode(),
    "no kind of event": json.dumps(batch(1.0, {})).encode(),
    "event not an object": json.dumps(batch(1.0, 7)).encode(),
    "balancer not launched": json.dumps(batch(1.0, request("t/a"))).encode(),
    "no request id": json.dumps(batch(1.0, launch(), {"kind": "WORK_ITEM", "time-left": 1.0})).encode(),
    "time left not a number": json.dumps(batch(1.0, launch(), request("t/a") | {"time-left": "3"})).encode(),
    "flag not a boolean": json.dumps(batch(1.0, launch(), request("t/a", **{"mid-flow": 1}))).encode(),
    "unknown outcome": json.dumps(
        batch(1.0, launch(), {"kind": "RETURNED", "ref": "t/a", "n": 0, "server": 1, "state-code": "maybe", "lag": 1})
    ).encode(),
    "endpoint list not sent": json.dumps(batch(1.0, launch(), endpoints_changed(set_id=3))).encode(),
    "datagram not hex": json.dumps(batch(1.0, launch(), {"kind": "DATAGRAM", "src-peer": 1, "raw": "zz"})).encode(),
    "no request classes": json.dumps(batch(1.0, launch(lanes=[]))).encode(),
    "cold share over 1": json.dumps(batch(1.0, launch(guarantees={"cold-share": 1.5}))).encode(),
}


@pytest.mark.parametrize("name", list(INVALID_BATCHES))
def test_an_invalid_batch_ends_the_process_with_one_line_that_names_the_batch(name):
    completed = run_adapter(raw=b'{"t": 0.5, "balancers": []}\n' + INVALID_BATCHES[name])
    assert completed.returncode == 1
    assert completed.stdout == b'{"balancers":[]}\n'
    (line,) = completed.stderr.decode().splitlines()
    assert line.startswith("aspensaddle: batch 2: ")


def test_the_error_for_an_invalid_field_names_its_path():
    completed = run_adapter(batch(1.0, launch(), request("t/a") | {"grade": "x"}))
    assert b"balancers[0].in[1]: grade must be an integer" in completed.stderr


def test_an_internal_error_is_reported_in_the_reply_and_as_a_traceback():
    """An exception in the balancer's code must not be swallowed."""
    code = (
        "import sys; from aspensaddle.simulator_adapter import host as adapter; from aspensaddle.core import balancer as balance; "
        "balance.Balancer._tick = lambda *a: 1 / 0; sys.exit(adapter.main())"
    )
    data = json.dumps(batch(1.0, launch(), {"kind": "WAKEUP", "label": "tick"})).encode()
    completed = subprocess.run([sys.executable, "-c", code], input=data, cwd=ROOT, capture_output=True, timeout=60)
    (reply,) = outputs(completed)
    assert reply[0][-1] == {"kind": "INTERNAL_ERROR", "reason-text": "ZeroDivisionError: division by zero"}
    assert b"Traceback" in completed.stderr


def busy_batches(balancers):
    """Batches in which the given balancers of a fleet of three see rejections, unreachable servers, timeouts and ticks."""
    yield {
        "t": 1.0,
        "balancers": [
            {
                "balancer": balancer,
                "in": [launch(balancer + 1, index=balancer), endpoint_page(*range(1, 13)), endpoints_changed()],
            }
            for balancer in balancers
        ],
    }
    for step in range(40):
        balancer_batches = []
        for balancer in balancers:
            ref = f"t/{balancer}x{step}"
            events = [request(ref, channel=step % 5), {"kind": "WAKEUP", "label": "tick"}]
            for server in range(1, 13):
                state_code = ["overloaded", "unreachable", "timed_out"][(step + server) % 3]
                events.append(
                    {"kind": "RETURNED", "ref": ref, "n": 0, "server": server, "state-code": state_code, "lag": 0.1}
                )
            balancer_batches.append({"balancer": balancer, "in": events})
        yield {"t": 1.5 + step / 2, "balancers": balancer_batches}


def test_replies_depend_neither_on_other_balancers_in_the_process_nor_on_the_hash_seed():
    together = outputs(run_adapter(*busy_batches([0, 1, 2])))
    assert together == outputs(run_adapter(*busy_batches([0, 1, 2]), hash_seed="12345"))
    separate = [outputs(run_adapter(*busy_batches([balancer]), hash_seed=str(balancer))) for balancer in range(3)]
    for step, reply in enumerate(together):
        for balancer in range(3):
            assert reply.get(balancer) == separate[balancer][step].get(balancer)
