"""The importer turns nginx blocks into a configuration that the balancer starts with, or into problems with file and line."""

import json
import os
import subprocess
import sys

import hypothesis
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from standins import ROOT, TIMEOUT_SECONDS, Client, StubServer, free_port, wait_until

from aspensaddle.daemon.config import parse_config
from aspensaddle.importer.converter import convert
from aspensaddle.importer.mapping import request_class_name

VALID_CONFIGURATION = """events {}
http {
  upstream backend {
    server 127.0.0.1:9001 weight=3;
    server 127.0.0.1:9002;
    server 127.0.0.1:9003 down;
  }
  server {
    listen 127.0.0.1:8000;
    location /test-run {
      proxy_pass http://backend;
      proxy_connect_timeout 250ms;
      proxy_next_upstream error timeout non_idempotent;
      proxy_next_upstream_timeout 1200ms;
      proxy_next_upstream_tries 4;
    }
    location /draft/save/ {
      proxy_pass http://backend/;
      proxy_connect_timeout 250ms;
      proxy_next_upstream_timeout 1s800ms;
      proxy_next_upstream_tries 4;
    }
  }
}
"""


def write_file(folder, text, name="nginx.conf"):
    path = folder / name
    path.write_text(text)
    return str(path)


def test_upstreams_and_locations_become_endpoints_and_request_classes(tmp_path):
    configuration, problems = convert(write_file(tmp_path, VALID_CONFIGURATION))
    assert not problems
    config = parse_config(configuration)
    assert config.classes == {"test-run": 0, "draft-save": 1} and config.listen == ("127.0.0.1", 8000)
    assert [request_class.deadline for request_class in config.settings.classes] == [1.2, 1.8]
    assert (config.settings.limits.connect_timeout, config.settings.limits.max_attempts) == (0.25, 4)
    assert [(endpoint.address[1], endpoint.weight, endpoint.state.value) for endpoint in config.known.endpoints] == [
        (9001, 3.0, "ready"),
        (9002, 1.0, "ready"),
        (9003, 1.0, "draining"),
    ]
    assert request_class_name("/") == "root"


@pytest.mark.parametrize(
    ("old", "new", "line", "expected_text"),
    [
        ("server 127.0.0.1:9002;", "least_conn;", 5, "least_conn"),
        ("server 127.0.0.1:9002;", "server 127.0.0.1:9002 backup;", 5, "backup"),
        ("server 127.0.0.1:9002;", "server 127.0.0.1:9002 max_fails=3;", 5, "max_fails"),
        ("server 127.0.0.1:9002;", "server server.internal:9002;", 5, "DNS"),
        ("server 127.0.0.1:9002;", "server 127.0.0.1:99999;", 5, "address"),
        ("server 127.0.0.1:9002;", "server 127.0.0.1:9001;", 5, "twice"),
        ("listen 127.0.0.1:8000;", "listen 127.0.0.1:8000 ssl;", 9, "listen"),
        ("listen 127.0.0.1:8000;", "server_name x;", 9, "server_name"),
        ("location /test-run", "location ~ ^/t", 10, "prefix"),
        ("proxy_pass http://backend;", "proxy_pass http://others;", 11, "others"),
        ("proxy_pass http://backend;", "proxy_pass https://backend;", 11, "proxy_pass"),
        ("proxy_pass http://backend;", "proxy_set_header Host x;", 11, "proxy_set_header"),
        ("error timeout non_idempotent", "off", 13, "proxy_next_upstream"),
        ("timeout 1200ms", "timeout soon", 14, "soon"),
        ("events {}", "worker_processes 4;", 1, "worker_processes"),
        ("events {}", "include nowhere.conf;", 1, "nowhere"),
        ("events {}", "events;", 1, "events"),
        ("events {}", "http;", 1, "http"),
        ("events {}", "upstream backend;", 1, "upstream"),
        ("events {}", "location /test-run;", 1, "location"),
        ("location /draft/save/", "location /test-run/", 17, "duplicate request class"),
        ("      proxy_next_upstream_tries 4;\n    }\n  }", "    }\n  }", 17, "as at line 10"),
        ("  }\n}\n", "  }\n", 23, "end of file"),
    ],
)
def test_what_cannot_be_imported_is_reported_with_file_and_line(tmp_path, old, new, line, expected_text):
    assert VALID_CONFIGURATION.count(old) >= 1
    text = VALID_CONFIGURATION.replace(old, new, 1) if not old.startswith("  }") else VALID_CONFIGURATION[:-2]
    path = write_file(tmp_path, text)
    configuration, problems = convert(path)
    assert configuration == {} or problems
    assert any(
        problem.line == line and expected_text in problem.text and problem.file == path for problem in problems
    ), list(map(str, problems))


def test_an_upstream_defined_after_its_locations_gives_the_same_configuration(tmp_path):
    start, end = VALID_CONFIGURATION.index("  upstream"), VALID_CONFIGURATION.index("  server {")
    text = (
        VALID_CONFIGURATION[:start]
        + VALID_CONFIGURATION[end:].removesuffix("}\n")
        + VALID_CONFIGURATION[start:end]
        + "}\n"
    )
    assert convert(write_file(tmp_path, text)) == convert(write_file(tmp_path, VALID_CONFIGURATION))


def test_several_upstreams_in_use_are_a_problem_unless_one_is_selected(tmp_path):
    path = write_file(
        tmp_path,
        VALID_CONFIGURATION.replace("http://backend/", "http://others").replace(
            "  server {", "  upstream others { server 127.0.0.1:9009; }\n  server {"
        ),
    )
    assert any("--upstream" in problem.text and problem.line == 18 for problem in convert(path)[1])
    configuration, problems = convert(path, "others")
    assert not problems and [endpoint["uid"] for endpoint in configuration["known"]["targets"]] == ["127.0.0.1:9009"]


@pytest.mark.parametrize(("upstream", "text"), [(None, "to an upstream"), ("gone", "to upstream 'gone'")])
def test_file_without_a_location_of_the_upstream_is_named(tmp_path, upstream, text):
    path = write_file(tmp_path, "events {}\nhttp { upstream backend { server 127.0.0.1:9001; } }\n")
    assert [str(problem) for problem in convert(path, upstream)[1]] == [f"{path}:0: no location passes {text}"]


def test_comment_between_arguments_is_ignored(tmp_path):
    text = VALID_CONFIGURATION.replace("127.0.0.1:9001 weight=3;", "127.0.0.1:9001 # the large one\n weight=3;")
    configuration, problems = convert(write_file(tmp_path, text))
    assert not problems and configuration == convert(write_file(tmp_path, VALID_CONFIGURATION))[0]


def test_every_problem_after_an_insertion_has_a_file_and_a_text(tmp_path):
    """Guards against problems of the parser without a text, and of directives that the parser adds."""
    for position in range(len(VALID_CONFIGURATION) + 1):
        for inserted in '0;{}#"':
            text = VALID_CONFIGURATION[:position] + inserted + VALID_CONFIGURATION[position:]
            path = write_file(tmp_path, text)
            assert all(problem.file == path and problem.text for problem in convert(path)[1]), text


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.integers(0, len(VALID_CONFIGURATION)), st.integers(0, 30), st.text(max_size=8))
@hypothesis.seed(0x6E5A97585B5E0BAC220BEE08E0EFEA713495BC47F7255764EC3BDBEDEF810C2F53AE4C9DA18C507F000FB5F295FB19D7)
def test_a_file_with_a_random_replacement_gives_a_configuration_or_problems(
    tmp_path, start, removed_length, inserted
):
    (tmp_path / "changed.conf").write_bytes(
        (VALID_CONFIGURATION[:start] + inserted + VALID_CONFIGURATION[start + removed_length :]).encode()
    )
    configuration, problems = convert(str(tmp_path / "changed.conf"))
    assert configuration or problems
    assert all(problem.file and problem.text for problem in problems)


def run_importer(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "aspensaddle.importer", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )


def test_the_command_writes_a_configuration_with_which_the_balancer_serves(tmp_path):
    server, port = StubServer("s-0"), free_port()
    text = (
        VALID_CONFIGURATION.replace("127.0.0.1:9001 weight=3", f"127.0.0.1:{server.address[1]}")
        .replace("    server 127.0.0.1:9002;\n    server 127.0.0.1:9003 down;\n", "")
        .replace(":8000", f":{port}")
    )
    output = tmp_path / "config.json"
    completed = run_importer(write_file(tmp_path, text), "-o", str(output))
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, "", "")
    assert json.loads(output.read_text())["known"]["targets"][0]["uid"] == f"127.0.0.1:{server.address[1]}"
    balancer = subprocess.Popen(
        [sys.executable, "-m", "aspensaddle"],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        env={**os.environ, "LB_CONFIG": str(output), "ASPENSADDLE_QUIC": "/nowhere"},
    )

    def serves():
        try:
            with Client(("127.0.0.1", port)) as client:
                return client.open("c=test-run,d=1000") == b"UP s-0\r\n"
        except OSError:
            return False

    try:
        wait_until(serves, "a connection under the imported configuration")
    finally:
        balancer.kill()
        balancer.wait(TIMEOUT_SECONDS)
        server.close()


@pytest.mark.parametrize("arguments", [("nowhere.conf",), (".",)])
def test_a_file_that_cannot_be_read_is_named_in_an_error_without_a_traceback(arguments):
    completed = run_importer(*arguments)
    assert completed.returncode == 1 and arguments[0] in completed.stderr and "Traceback" not in completed.stderr
