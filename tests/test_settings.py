"""Validation of settings: an invalid value raises an error that names the setting."""

from dataclasses import replace

import pytest
from helpers import REQUEST_CLASS, SETTINGS

from aspensaddle.core.settings import Limits, ServiceRules, Settings

INVALID_SETTINGS = {
    "classes": {"classes": ()},
    "classes[0].latency_objective": {"classes": (replace(REQUEST_CLASS, latency_objective=-1.0),)},
    "classes[0].deadline": {"classes": (replace(REQUEST_CLASS, deadline=float("nan")),)},
    "rules.initial_capacity_fraction": {"rules": ServiceRules(initial_capacity_fraction=1.2)},
    "rules.slow_start_duration": {"rules": ServiceRules(slow_start_duration=-1.0)},
    "limits.max_attempts": {"limits": Limits(max_attempts=0)},
    "balancer_count": {"balancer_count": 0},
    "zone": {"zone": 3, "zone_count": 2},
}


@pytest.mark.parametrize("name", list(INVALID_SETTINGS))
def test_invalid_setting_raises_an_error_with_its_name(name):
    with pytest.raises(ValueError, match=name.replace("[", r"\[").replace("]", r"\]")):
        replace(SETTINGS, **INVALID_SETTINGS[name])


def test_settings_with_only_a_request_class_are_valid():
    assert Settings(classes=(REQUEST_CLASS,)).zone_count == 1
