"""The operator's file of machines, and that no name of a deployment decides anything."""

from __future__ import annotations

import random
import re
from pathlib import Path

import orjson
import pytest
from standins import SETTINGS

from aspensaddle.core.machine_types import load_machine_types
from aspensaddle.simulator_adapter.host import Host
from aspensaddle.support.config_errors import ConfigError

ROOT = Path(__file__).resolve().parent.parent


def test_speeds_come_from_the_file_by_kind_and_are_one_where_it_names_none(tmp_path):
    file = tmp_path / "machines.toml"
    file.write_text('group_cost = 1.5\n[speed]\n"big one" = 2\n')
    machines = load_machine_types({"ASPENSADDLE_MACHINES": str(file)})
    assert machines.group_cost == 1.5 and machines.speeds == {"big one": 2.0}
    assert load_machine_types({"ASPENSADDLE_MACHINES": str(tmp_path / "none.toml")}).group_cost == 3.0


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("group_cost = -1", "machines.toml:1: group_cost must be"),
        ("a = 1", "machines.toml:1: a is not a setting"),
        ("\n[speed]\nx = 0", "machines.toml:3: speed.x must be over 0"),
        ('[speed]\nx = "1"', "machines.toml:2: speed.x"),
        ("[speed]\nx = inf", "speed.x"),
        ("[speed]\nx = nan", "speed.x"),
        ("speed = 3", "machines.toml:1: speed"),
    ],
)
def test_a_file_that_cannot_be_used_is_refused_with_file_line_and_field(tmp_path, text, says):
    file = tmp_path / "machines.toml"
    file.write_text(text)
    with pytest.raises(ConfigError, match=re.escape(says)):
        load_machine_types({"ASPENSADDLE_MACHINES": str(file)})


def decisions(settings: dict, tmp_path) -> list:
    """What a balancer with these settings decides of a hundred requests, behind the simulator's wire."""
    host, draw, replies = Host(), random.Random(3), []
    events = [
        {"kind": "LAUNCH", "init-seed": 5, "options": settings},
        {
            "kind": "PAGE",
            "set-id": 0,
            "items": [
                {"server": n, "region-part": n % 2, "generation-hw": n % 2, "capacity-hint": 2.0} for n in range(6)
            ],
        },
        {"kind": "BACKENDS_CHANGED", "scope": "SAVED", "set-id": 0, "seq-no": 1},
    ]
    for n in range(100):
        events.append(
            {
                "kind": "WORK_ITEM",
                "ref": f"r{n}",
                "grade": n % 2,
                "owner": n % 3,
                "time-left": 1.0,
                "channel": draw.randrange(9),
            }
        )
        batch = {"t": 1000.0 + n / 10, "balancers": [{"balancer": 0, "in": events}]}
        replies.append(host.reply(orjson.dumps(batch)))
        events = []
    return replies


def test_settings_with_other_names_give_the_same_decisions(tmp_path, monkeypatch):
    monkeypatch.setenv("ASPENSADDLE_MACHINES", str(tmp_path / "none.toml"))
    named = {
        **SETTINGS,
        "host-types": ["fast-runner", "plain-runner"],
        "tenants": [{"name": t} for t in ("taller-leon", "taller-puebla", "x")],
    }
    draw = random.Random(1)

    def other(value):
        return "".join(draw.choices("bcdfghjklmnp", k=9))

    renamed = {
        **named,
        "host-types": [other(0), other(1)],
        "failure-domains": [other(0), other(1)],
        "tenants": [{"name": other(t)} for t in range(3)],
        "lanes": [{**lane, "name": other(lane)} for lane in SETTINGS["lanes"]],
    }
    assert decisions(named, tmp_path) == decisions(renamed, tmp_path)


def test_no_name_of_a_deployment_stands_in_the_code():
    names = re.compile(
        r"fast-runner|plain-runner|fast-5|std-5|surabaya|semarang|leon-norte|taller-|press-status"
        r"|template-sync|preview-feed|latihan-jawa|bajio"
    )
    found = [
        f.name
        for f in (ROOT / "aspensaddle").rglob("*.py")
        if any(names.search(line.split("#")[0]) for line in f.read_text().splitlines())
        and f.parts[-2] not in ("conformance", "cases")
    ]
    assert not found, found
