"""The views of a fleet day's logs, on a day of two balancers written by hand."""

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def up(id, at, group, response="UP", **more):
    return {
        "event": "request",
        "request_id": id,
        "affinity_key": ord(id),
        "server": at,
        "session_group": group,
        "attempts": 1,
        "response": response,
        **more,
    }


def ended(id, outcome, load=None):
    return {"event": "connection_ended", "request_id": id, "outcome": outcome, "load": load}


STARTED = {"event": "daemon_started", "endpoints": [["a", 2.0, "any"], ["b", 2.0, "any"]]}
LOGS = {
    "n0": [
        (0.5, STARTED),
        (
            0.6,
            {
                "event": "connection_adopted",
                "request_id": "x",
                "affinity_key": 1,
                "server": "a",
                "session_group": 7,
                "established": True,
            },
        ),
        (
            2.0,
            {
                "event": "endpoints_updated",
                "complete": False,
                "endpoints": [["b", "draining", 0.0, 2.0, "any"], ["n", "ready", 101.0, 2.0, "any"]],
            },
        ),
        (3.0, up("y", "n", 7)),
        (11.0, up("z", "a", 8)),
        (11.5, up("-", None, 7, "BUSY 300", reject_reason="retry_storm")),
        (11.6, up("-", None, 7, "BUSY 20", reject_reason="deadline_exceeded")),
        (12.0, ended("z", "migrated", 0.1)),
        (13.0, ended("y", "ok", 0.3)),
        (15.0, up("w", "n", 8, reject_reason=None)),
        (16.2, STARTED),
        (17.0, up("v", "a", 7, affinity_key=ord("z"))),
        (20.0, {"event": "counters_reported"}),
    ],
    "n1": [(0.5, STARTED), (16.5, up("u", "a", 7)), (18.5, ended("u", "connection_lost"))],
}


def test_the_account_tells_scatter_levels_stays_and_causes(tmp_path):
    for name, lines in LOGS.items():
        (tmp_path / f"{name}.log").write_text(
            "".join(f"{t:.3f} {json.dumps({'t': 100 + t, **e})}\n" for t, e in lines)
        )
    said = subprocess.run(
        [sys.executable, ROOT / "benchmarks/fleet_logs.py", tmp_path, "account"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.splitlines()
    assert (
        said[0] == "1 s: 1 connections of 1 groups on 1 runners; 1 pairs, 1 with one connection; work 0.6 for pairs, "
        "0.2 for connections; largest [(1, 1)]; level of old 0.20 of 2, of new -"
    )  # started and not listed yet
    assert (
        said[1] == "4 s: 2 connections of 1 groups on 2 runners; 2 pairs, 2 with one connection; work 1.2 for pairs, "
        "0.5 for connections; largest [(2, 2)]; level of old 0.40 of 1, of new 1.96 of 1"
    )
    assert (
        said[3] == "16 s: 2 connections of 2 groups on 2 runners; 2 pairs, 2 with one connection; work 1.2 for "
        "pairs, 0.4 for connections; largest [(1, 1), (1, 1)]; level of old 0.40 of 1, of new 0.60 of 1"
    )
    assert (
        said[4]
        == "20 s: 1 connections of 1 groups on 1 runners; 1 pairs, 1 with one connection; work 0.6 for pairs, "
        "0.1 for connections; largest [(1, 1)]; level of old 0.35 of 1, of new 0.00 of 1"
    )  # its client asked for 0.1 before
    assert (
        said[5]
        == "stays from 10 to 25 s: median 1.6 s; 1 connection_lost 2.0 s, 1 lost 1.2 s, 1 migrated 1.0 s, 1 stands 3.0 s"
    )
    assert "answers from 10 s: {'UP': 1, 'BUSY retry_storm': 1, 'BUSY deadline_exceeded': 1}" in said
