"""nginx blocks to a configuration that the program starts with, or to errors that name file and line."""

import json
import os
import subprocess
import sys

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from standins import ROOT, WAIT, Client, Runner, free_port, until

from aspensaddle.daemon.config import parse_config
from aspensaddle.importer.converter import convert
from aspensaddle.importer.mapping import request_class_name

GOOD = """events {}
http {
  upstream runners {
    server 127.0.0.1:9001 weight=3;
    server 127.0.0.1:9002;
    server 127.0.0.1:9003 down;
  }
  server {
    listen 127.0.0.1:8000;
    location /test-run {
      proxy_pass http://runners;
      proxy_connect_timeout 250ms;
      proxy_next_upstream error timeout non_idempotent;
      proxy_next_upstream_timeout 1200ms;
      proxy_next_upstream_tries 4;
    }
    location /draft/save/ {
      proxy_pass http://runners/;
      proxy_connect_timeout 250ms;
      proxy_next_upstream_timeout 1s800ms;
      proxy_next_upstream_tries 4;
    }
  }
}
"""


def write(folder, text, name="nginx.conf"):
    path = folder / name
    path.write_text(text)
    return str(path)


def test_upstreams_and_locations_become_runners_and_classes(tmp_path):
    made, problems = convert(write(tmp_path, GOOD))
    assert not problems
    config = parse_config(made)
    assert config.classes == {"test-run": 0, "draft-save": 1} and config.listen == ("127.0.0.1", 8000)
    assert [c.deadline for c in config.settings.classes] == [1.2, 1.8]
    assert (config.settings.limits.connect_timeout, config.settings.limits.max_attempts) == (0.25, 4)
    assert [(t.address[1], t.weight, t.state.value) for t in config.known.endpoints] == [
        (9001, 3.0, "ready"),
        (9002, 1.0, "ready"),
        (9003, 1.0, "draining"),
    ]
    assert request_class_name("/") == "root"


@pytest.mark.parametrize(
    ("old", "new", "line", "word"),
    [
        ("server 127.0.0.1:9002;", "least_conn;", 5, "least_conn"),
        ("server 127.0.0.1:9002;", "server 127.0.0.1:9002 backup;", 5, "backup"),
        ("server 127.0.0.1:9002;", "server 127.0.0.1:9002 max_fails=3;", 5, "max_fails"),
        ("server 127.0.0.1:9002;", "server runner.internal:9002;", 5, "DNS"),
        ("server 127.0.0.1:9002;", "server 127.0.0.1:99999;", 5, "address"),
        ("server 127.0.0.1:9002;", "server 127.0.0.1:9001;", 5, "twice"),
        ("listen 127.0.0.1:8000;", "listen 127.0.0.1:8000 ssl;", 9, "listen"),
        ("listen 127.0.0.1:8000;", "server_name x;", 9, "server_name"),
        ("location /test-run", "location ~ ^/t", 10, "prefix"),
        ("proxy_pass http://runners;", "proxy_pass http://others;", 11, "others"),
        ("proxy_pass http://runners;", "proxy_pass https://runners;", 11, "proxy_pass"),
        ("proxy_pass http://runners;", "proxy_set_header Host x;", 11, "proxy_set_header"),
        ("error timeout non_idempotent", "off", 13, "proxy_next_upstream"),
        ("timeout 1200ms", "timeout soon", 14, "soon"),
        ("events {}", "worker_processes 4;", 1, "worker_processes"),
        ("events {}", "include nowhere.conf;", 1, "nowhere"),
        ("events {}", "events;", 1, "events"),
        ("events {}", "http;", 1, "http"),
        ("events {}", "upstream runners;", 1, "upstream"),
        ("events {}", "location /test-run;", 1, "location"),
        ("location /draft/save/", "location /test-run/", 17, "second class"),
        ("      proxy_next_upstream_tries 4;\n    }\n  }", "    }\n  }", 17, "as at line 10"),
        ("  }\n}\n", "  }\n", 23, "end of file"),
    ],
)
def test_what_can_t_be_carried_over_is_named_with_its_line(tmp_path, old, new, line, word):
    assert GOOD.count(old) >= 1
    text = GOOD.replace(old, new, 1) if not old.startswith("  }") else GOOD[:-2]
    path = write(tmp_path, text)
    made, problems = convert(path)
    assert made == {} or problems
    assert any(p.line == line and word in p.text and p.file == path for p in problems), list(map(str, problems))


def test_an_upstream_may_stand_behind_its_locations(tmp_path):
    start, end = GOOD.index("  upstream"), GOOD.index("  server {")
    text = GOOD[:start] + GOOD[end:].removesuffix("}\n") + GOOD[start:end] + "}\n"
    assert convert(write(tmp_path, text)) == convert(write(tmp_path, GOOD))


def test_one_upstream_is_chosen(tmp_path):
    path = write(
        tmp_path,
        GOOD.replace("http://runners/", "http://others").replace(
            "  server {", "  upstream others { server 127.0.0.1:9009; }\n  server {"
        ),
    )
    assert any("--upstream" in p.text and p.line == 18 for p in convert(path)[1])
    made, problems = convert(path, "others")
    assert not problems and [t["uid"] for t in made["known"]["targets"]] == ["127.0.0.1:9009"]


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.integers(0, len(GOOD)), st.integers(0, 30), st.text(max_size=8))
def test_cuts_and_garbage_are_read_or_refused(tmp_path, at, cut, new):
    (tmp_path / "cut.conf").write_bytes((GOOD[:at] + new + GOOD[at + cut :]).encode())
    made, problems = convert(str(tmp_path / "cut.conf"))
    assert bool(made) != bool(problems) or problems
    assert all(str(p) for p in problems)


def run(*args):
    return subprocess.run(
        [sys.executable, "-m", "aspensaddle.importer", *args], cwd=ROOT, capture_output=True, text=True, timeout=WAIT
    )


def test_the_command_and_the_program_it_configures(tmp_path):
    runner, port = Runner("s-0"), free_port()
    text = (
        GOOD.replace("127.0.0.1:9001 weight=3", f"127.0.0.1:{runner.address[1]}")
        .replace("    server 127.0.0.1:9002;\n    server 127.0.0.1:9003 down;\n", "")
        .replace(":8000", f":{port}")
    )
    out = tmp_path / "config.json"
    done = run(write(tmp_path, text), "-o", str(out))
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")
    assert json.loads(out.read_text())["known"]["targets"][0]["uid"] == f"127.0.0.1:{runner.address[1]}"
    program = subprocess.Popen(
        [sys.executable, "-m", "aspensaddle"],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        env={**os.environ, "LB_CONFIG": str(out), "ASPENSADDLE_QUIC": "/nowhere"},
    )

    def serves():
        try:
            with Client(("127.0.0.1", port)) as c:
                return c.open("c=test-run,d=1000") == b"UP s-0\r\n"
        except OSError:
            return False

    try:
        until(serves, "the imported configuration serves")
    finally:
        program.kill()
        program.wait(WAIT)
        runner.close()


@pytest.mark.parametrize("args", [("nowhere.conf",), (".",)])
def test_unreadable_files_are_one_clear_line(args):
    done = run(*args)
    assert done.returncode == 1 and args[0] in done.stderr and "Traceback" not in done.stderr
