"""The conformance suite: its quick cases against the program as a process, all cases against the engine."""

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


def run_suite(*args, timeout=90):
    return subprocess.run(
        [sys.executable, "-m", "aspensaddle.conformance", *args],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=timeout,
    )


def test_quick_cases_pass_against_the_program(tmp_path):
    completed = run_suite("--quick", "--json", str(tmp_path / "results.json"))
    assert completed.returncode == 0, completed.stdout[-3000:] + completed.stderr[-1000:]
    last = completed.stdout.splitlines()[-1]
    passed, failed, not_applicable = map(
        int, re.fullmatch(r"(\d+) passed, (\d+) failed, (\d+) not applicable", last).groups()
    )
    assert passed >= 80 and not failed and not not_applicable
    results = json.loads((tmp_path / "results.json").read_text())
    assert len(results) == passed and {result["verdict"] for result in results} == {"passed"}


def test_all_cases_pass_against_the_engine_with_several_seeds():
    for seed in range(3):
        results = suite.run(suite.load_cases(), memory=True, seed=seed, jobs=2)
        assert [(result.name, result.why) for result in results if result.verdict == "failed"] == []
    assert len({result.section.split("-")[0] for result in results} & {"8999", "9000", "9001", "9369", "lb"}) == 5


def ignore_amplification_limit(monkeypatch):
    monkeypatch.setattr("aspensaddle.frontends.quic.address_limits.HandshakeLimit.try_consume", lambda *args: True)


def forget_answered_initials(monkeypatch):
    monkeypatch.setattr("aspensaddle.frontends.quic.limits.ExpiringMap.has", lambda *args: False)


def accept_any_token(monkeypatch):
    monkeypatch.setattr(
        "aspensaddle.frontends.quic.retry_tokens.RetryTokens.check",
        lambda tokens, token, host, port, dcid, unix_time: (TokenVerdict.VALID, tokens.unseal(token, unix_time)),
    )


def ignore_endpoint_updates(monkeypatch):
    monkeypatch.setattr("aspensaddle.core.driver.Driver.may_start_attempt", lambda *args: True)
    monkeypatch.setattr("aspensaddle.core.driver.Driver.update_endpoints", lambda *args: None)


def match_only_17_byte_connection_ids(monkeypatch):
    monkeypatch.setattr(
        "aspensaddle.frontends.quic.connection_ids.IdFormat.matches", lambda id_format, cid: len(cid) == 17
    )


@pytest.mark.parametrize(
    ("inject_fault", "case_name"),
    [
        (ignore_amplification_limit, "amplification_limit"),
        (forget_answered_initials, "one_final_response"),
        (accept_any_token, "token_from_another_address"),
        (ignore_endpoint_updates, "server_leaves"),
        (match_only_17_byte_connection_ids, "four_pass"),
    ],
)
def test_injected_fault_fails_the_case_that_covers_it(monkeypatch, inject_fault, case_name):
    (case,) = (candidate for candidate in suite.load_cases() if candidate.name == case_name)
    assert suite.run([case], memory=True)[0].verdict == "passed"
    inject_fault(monkeypatch)
    assert suite.run([case], memory=True)[0].verdict == "failed"


@pytest.mark.parametrize("kind", [socket.SOCK_DGRAM, socket.SOCK_STREAM])
def test_program_starts_on_other_ports_when_a_chosen_port_is_in_use(monkeypatch, tmp_path, kind):
    choose_free_port, in_use = process_frontend.free_port, [kind]

    def choose_port_in_use_once(requested_kind):
        if requested_kind in in_use:
            in_use.remove(requested_kind)
            return occupied.getsockname()[1]
        return choose_free_port(requested_kind)

    monkeypatch.setattr(process_frontend, "free_port", choose_port_in_use_once)
    with socket.socket(socket.AF_INET, kind) as occupied:
        occupied.bind(("127.0.0.1", 0))
        if kind == socket.SOCK_STREAM:
            occupied.listen()
        testbed = Testbed(TestbedSetup(), tmp_path)
        try:
            assert not in_use and occupied.getsockname() != testbed.address
            testbed.begin_case()
            testbed.request(*testbed.connected_clients())
        finally:
            testbed.close()


def test_start_fails_when_every_chosen_port_is_in_use(monkeypatch, tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        monkeypatch.setattr(process_frontend, "free_port", lambda kind: occupied.getsockname()[1])
        with pytest.raises(process_frontend.PortInUseError, match="Address already in use"):
            Testbed(TestbedSetup(), tmp_path)


def test_failed_case_is_counted_and_the_exit_code_is_1(monkeypatch, capsys):
    from aspensaddle.conformance import __main__ as command

    failed = suite.Result(1, "0-0", "requirement", "name", "failed", "expected something else", 0.0)
    monkeypatch.setattr(suite, "run", lambda *args: [failed])
    assert command.main(["--memory", "--only", "handshake"]) == 1
    assert capsys.readouterr().out.splitlines()[-1] == "0 passed, 1 failed, 0 not applicable"
