"""Machine types: parsing of the operator's file, and decisions that are independent of names in a deployment."""

from __future__ import annotations

import random
import re
from pathlib import Path

import orjson
import pytest
from standins import SETTINGS

from aspensaddle.core.machine_types import load_machine_types
from aspensaddle.simulator_adapter.host import BalancerHost
from aspensaddle.support.config_errors import ConfigError

ROOT = Path(__file__).resolve().parent.parent


def test_file_sets_speeds_and_group_cost_and_without_it_the_group_cost_is_the_default(tmp_path):
    file = tmp_path / "machines.toml"
    file.write_text('group_cost = 1.5\n[speed]\n"big one" = 2\n')
    machine_types = load_machine_types({"ASPENSADDLE_MACHINES": str(file)})
    assert machine_types.group_cost == 1.5 and machine_types.speeds == {"big one": 2.0}
    assert load_machine_types({"ASPENSADDLE_MACHINES": str(tmp_path / "none.toml")}).group_cost == 3.0


@pytest.mark.parametrize(
    ("text", "message"),
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
def test_invalid_file_is_rejected_with_file_line_and_field(tmp_path, text, message):
    file = tmp_path / "machines.toml"
    file.write_text(text)
    with pytest.raises(ConfigError, match=re.escape(message)):
        load_machine_types({"ASPENSADDLE_MACHINES": str(file)})


def decisions(settings: dict, tmp_path) -> list:
    """Return the replies of a balancer with these settings to a hundred requests, through the simulator adapter."""
    host, rng, replies = BalancerHost(), random.Random(3), []
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
                "channel": rng.randrange(9),
            }
        )
        batch = {"t": 1000.0 + n / 10, "balancers": [{"balancer": 0, "in": events}]}
        replies.append(host.reply(orjson.dumps(batch)))
        events = []
    return replies


def test_decisions_do_not_depend_on_the_names_of_machine_types_zones_tenants_and_request_classes(
    tmp_path, monkeypatch
):
    monkeypatch.setenv("ASPENSADDLE_MACHINES", str(tmp_path / "none.toml"))
    named = {
        **SETTINGS,
        "host-types": ["fast-runner", "plain-runner"],
        "tenants": [{"name": tenant} for tenant in ("taller-leon", "taller-puebla", "x")],
    }
    rng = random.Random(1)

    def random_name(_):
        return "".join(rng.choices("bcdfghjklmnp", k=9))

    renamed = {
        **named,
        "host-types": [random_name(0), random_name(1)],
        "failure-domains": [random_name(0), random_name(1)],
        "tenants": [{"name": random_name(tenant)} for tenant in range(3)],
        "lanes": [{**request_class, "name": random_name(request_class)} for request_class in SETTINGS["lanes"]],
    }
    assert decisions(named, tmp_path) == decisions(renamed, tmp_path)


def test_product_code_contains_no_names_of_a_deployment():
    names = re.compile(
        r"fast-runner|plain-runner|fast-5|std-5|surabaya|semarang|leon-norte|taller-|press-status"
        r"|template-sync|preview-feed|latihan-jawa|bajio"
    )
    found = [
        file.name
        for file in (ROOT / "aspensaddle").rglob("*.py")
        if any(names.search(line.split("#")[0]) for line in file.read_text().splitlines())
        and file.parts[-2] not in ("conformance", "cases")
    ]
    assert not found, found
