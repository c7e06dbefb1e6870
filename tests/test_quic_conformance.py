"""The conformance suite in its quick part: against the program as a process, and against the engine for more seeds."""

import json
import re
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from aspensaddle.conformance import process_frontend, suite
from aspensaddle.conformance.testbed import Testbed, TestbedSetup
from aspensaddle.frontends.quic.retry_tokens import TokenVerdict

ROOT = Path(__file__).resolve().parent.parent


def run(*args, within=90):
    return subprocess.run(
        [sys.executable, "-m", "aspensaddle.conformance", *args],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=within,
    )


def test_the_quick_part_against_the_program(tmp_path):
    done = run("--quick", "--json", str(tmp_path / "results.json"))
    assert done.returncode == 0, done.stdout[-3000:] + done.stderr[-1000:]
    last = done.stdout.splitlines()[-1]
    passed, failed, left = map(int, re.fullmatch(r"(\d+) passed, (\d+) failed, (\d+) not applicable", last).groups())
    assert passed >= 80 and not failed and not left
    results = json.loads((tmp_path / "results.json").read_text())
    assert len(results) == passed and {r["verdict"] for r in results} == {"passed"}


def test_all_cases_against_the_engine_for_several_seeds():
    for seed in range(3):
        results = suite.run(suite.load(), memory=True, seed=seed, jobs=2)
        assert [(r.name, r.why) for r in results if r.verdict == "failed"] == []
    assert len({r.section.split("-")[0] for r in results} & {"8999", "9000", "9001", "9369", "lb"}) == 5


def unbounded(monkeypatch):
    monkeypatch.setattr("aspensaddle.frontends.quic.session.AmplificationLimit.try_consume", lambda *args: True)


def forgetful(monkeypatch):
    monkeypatch.setattr("aspensaddle.frontends.quic.limits.ExpiringMap.has", lambda *args: False)


def trusting(monkeypatch):
    monkeypatch.setattr(
        "aspensaddle.frontends.quic.retry_tokens.RetryTokens.check",
        lambda tokens, token, host, port, dcid, unix: (TokenVerdict.VALID, tokens.unseal(token, unix)),
    )


def sticky(monkeypatch):
    monkeypatch.setattr("aspensaddle.core.driver.Driver.may_start_attempt", lambda *args: True)
    monkeypatch.setattr("aspensaddle.core.driver.Driver.update_endpoints", lambda *args: None)


def half_read(monkeypatch):
    monkeypatch.setattr(
        "aspensaddle.frontends.quic.connection_ids.IdFormat.matches", lambda form, cid: len(cid) == 17
    )


@pytest.mark.parametrize(
    ("bug", "case"),
    [
        (unbounded, "three_times"),
        (forgetful, "one_answer"),
        (trusting, "token_from_elsewhere"),
        (sticky, "runner_leaves"),
        (half_read, "four_pass"),
    ],
)
def test_a_planted_bug_fails_its_case(monkeypatch, bug, case):
    (chosen,) = (c for c in suite.load() if c.name == case)
    assert suite.run([chosen], memory=True)[0].verdict == "passed"
    bug(monkeypatch)
    assert suite.run([chosen], memory=True)[0].verdict == "failed"


@pytest.mark.parametrize("kind", [socket.SOCK_DGRAM, socket.SOCK_STREAM])
def test_the_program_starts_on_other_ports_when_one_was_taken(monkeypatch, tmp_path, kind):
    choose, taken = process_frontend.free_port, [kind]

    def free_port_once_taken(wanted):
        if wanted in taken:
            taken.remove(wanted)
            return occupied.getsockname()[1]
        return choose(wanted)

    monkeypatch.setattr(process_frontend, "free_port", free_port_once_taken)
    with socket.socket(socket.AF_INET, kind) as occupied:
        occupied.bind(("127.0.0.1", 0))
        if kind == socket.SOCK_STREAM:
            occupied.listen()
        testbed = Testbed(TestbedSetup(), tmp_path)
        try:
            assert not taken and occupied.getsockname() != testbed.address
            testbed.begin_case()
            testbed.ask(*testbed.connected_clients())
        finally:
            testbed.close()


def test_a_start_with_taken_ports_ends_after_some_tries(monkeypatch, tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        monkeypatch.setattr(process_frontend, "free_port", lambda kind: occupied.getsockname()[1])
        with pytest.raises(process_frontend.PortTakenError, match="Address already in use"):
            Testbed(TestbedSetup(), tmp_path)


def test_a_case_that_fails_is_told_and_exits_with_1(monkeypatch, capsys):
    from aspensaddle.conformance import __main__ as command

    broken = suite.Result(1, "0-0", "never so", "broken", "failed", "not so", 0.0)
    monkeypatch.setattr(suite, "run", lambda *args: [broken])
    assert command.main(["--memory", "--only", "handshake"]) == 1
    assert capsys.readouterr().out.splitlines()[-1] == "0 passed, 1 failed, 0 not applicable"
