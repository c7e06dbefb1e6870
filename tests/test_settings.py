"""Impossible settings are named."""

from dataclasses import replace

import pytest
from helpers import CLASS, SETTINGS

from aspensaddle.core.settings import Limits, ServiceRules, Settings

WRONG = {
    "classes": {"classes": ()},
    "classes[0].latency_objective": {"classes": (replace(CLASS, latency_objective=-1.0),)},
    "classes[0].deadline": {"classes": (replace(CLASS, deadline=float("nan")),)},
    "rules.initial_capacity_fraction": {"rules": ServiceRules(initial_capacity_fraction=1.2)},
    "rules.slow_start_duration": {"rules": ServiceRules(slow_start_duration=-1.0)},
    "limits.max_attempts": {"limits": Limits(max_attempts=0)},
    "balancer_count": {"balancer_count": 0},
    "zone": {"zone": 3, "zone_count": 2},
}


@pytest.mark.parametrize("name", list(WRONG))
def test_impossible_settings_raise_with_their_name(name):
    with pytest.raises(ValueError, match=name.replace("[", r"\[").replace("]", r"\]")):
        replace(SETTINGS, **WRONG[name])


def test_smallest_settings_are_enough():
    assert Settings(classes=(CLASS,)).zone_count == 1
