"""The operator's settings, the command line, and the log's lines."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog import DropEvent

from tansyladder.config.errors import OptionsError
from tansyladder.config.operator_settings import KeyEntry, Options, load, parse, restart_required_changes
from tansyladder.log import LineFormat, LogEvent, log, set_line_format
from tansyladder.log_writer import MAX_LINES_PER_WINDOW, RATE_WINDOW, RateLimiter
from tests.answers.program import run
from tests.node.harness import ScriptedServer, answer_up, endpoint_entry, load_test_config
from tests.node.program import client_of, program, until_line

KEY = "ab" * 32


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ('(resume (expires "9 h"))', "resume: expires"),
        ("(resume (expires 30))", "resume.expires"),
        ("(resume (enabled yes))", "resume.enabled"),
        ("(resume (enabled))", "resume.enabled"),
        ("(resume (enabled true) (enabled false))", "resume.enabled"),
        ('(resume (buffer "1 B"))', "resume.buffer"),
        ("(resume (memory_share 0.9))", "resume.memory_share"),
        ('(resume (keys (7 "zz")))', "resume.keys[0]"),
        (f'(resume (keys (7 "{KEY}") (7 "{KEY}")))', "resume: keys"),
        (f'(resume (keys (256 "{KEY}")))', "resume.keys[0][0]"),
        ("(documents (enabled true))", "documents.enabled: needs peers"),
        ('(documents (lease "1 s"))', "documents: lease"),
        ('(documents (on_lease_expiry "never"))', "documents: on_lease_expiry"),
        ('(documents (cut_off "never"))', "documents: cut_off"),
        ("(resume (colour 1))", "`colour`"),
        ("(shop)", "`shop`"),
        ("(log (json 1) 5)", "log"),
        ("resume", "file"),
        ("(resume (enabled true)", "file"),
        (")", "file"),
        ('"', "file"),
        ("(" * 4000, "file"),
        ("(a " * 30 + "1" + ")" * 30, "brackets deeper"),
    ],
)
def test_an_error_in_settings_names_its_path(text: str, path: str) -> None:
    with pytest.raises(OptionsError) as raised:
        parse(text)
    assert path in str(raised.value)


def test_all_features_are_disabled_by_default() -> None:
    assert load(None) == parse("; nothing\n") == Options()
    assert not Options().resume.enabled


def test_settings_are_parsed_with_their_units() -> None:
    options = parse(f'(resume (enabled true) (expires "1.5 min") (buffer "8 KiB") (keys (3 "{KEY}")))')
    assert options.resume.expires == timedelta(seconds=90)
    assert options.resume.buffer == 8192
    assert options.resume.keys == (KeyEntry(3, KEY),)
    assert options.resume.keys[0].secret == b"\xab" * 32
    changes = restart_required_changes(Options(), options)
    assert changes == ["resume.enabled", "resume.expires", "resume.buffer"]


def test_settings_are_read_from_a_file(tmp_path: Path) -> None:
    with pytest.raises(OptionsError, match="file: No such file"):
        load(tmp_path / "none")
    assert load(Path(__file__).parent.parent.parent / "deploy" / "settings.example.sexp").resume.enabled


@given(st.text(alphabet="()\"';#. \\\n09azresumenabled", max_size=60))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_any_text_is_settings_or_an_error(text: str) -> None:
    with contextlib.suppress(OptionsError):
        parse(text)


def test_check_accepts_a_valid_configuration(tmp_path: Path) -> None:
    load_test_config(tmp_path, endpoint_entry("s0", "127.0.0.1:9"))
    assert run("check", str(tmp_path / "config.json")).returncode == 0


@pytest.mark.parametrize(
    ("file_name", "text", "path"),
    [
        ("bad.json", '{"limits": {"sockets": "many"}}', "limits.sockets"),
        ("bad.sexp", "(resume (expires 1))", "resume.expires"),
    ],
)
def test_check_names_the_error_and_exits_with_2(tmp_path: Path, file_name: str, text: str, path: str) -> None:
    (tmp_path / file_name).write_text(text)
    result = run("check", str(tmp_path / file_name))
    assert result.returncode == 2
    assert path in result.stderr
    assert "Traceback" not in result.stderr


def test_a_start_with_bad_settings_names_the_error_and_exits_with_2(tmp_path: Path) -> None:
    load_test_config(tmp_path, endpoint_entry("s0", "127.0.0.1:9"))
    (tmp_path / "bad.sexp").write_text("(resume (expires 1))")
    config_file = tmp_path / "config.json"
    result = run("serve", "--settings", str(tmp_path / "bad.sexp"), config_file=config_file)
    assert result.returncode == 2
    assert "event=bad_settings" in result.stderr
    assert "resume.expires" in result.stderr


def test_the_platforms_command_loads_no_tool(tmp_path: Path) -> None:
    """Started without arguments the node must not load what only tools and other installations need."""
    load_test_config(tmp_path)
    code = (
        "import signal, sys;"
        "sys.argv = ['tansyladder'];"
        "signal.sigwait = lambda _: signal.SIGTERM;"
        "from tansyladder.__main__ import main; main();"
        "print(sorted({'click', 'sexpdata', 'cryptography', 'hdrh', 'numpy', 'xxhash'} & sys.modules.keys()))"
    )
    env = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json")}
    result = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, timeout=30)
    assert result.stdout.strip() == "[]", result.stderr


def test_a_new_set_of_keys_is_put_in_force_by_a_signal(tmp_path: Path) -> None:
    """A broken file changes nothing; restart-only changes are named, and no key is written to the log."""
    file = tmp_path / "settings.sexp"
    file.write_text(f'(resume (enabled true) (keys (1 "{KEY}")))')
    host = ScriptedServer(answer_up(lambda peer: peer.send_lines(peer.read_line())))
    with program(tmp_path, host, words=("serve", "--settings", str(file))) as (node, port):
        assert node.stderr is not None
        file.write_text("(resume")
        node.send_signal(signal.SIGHUP)
        until_line(node, b'event=reload_failed error="file: brackets')
        file.write_text(f'(resume (enabled true) (max_suspended 9) (keys (2 "{"cd" * 32}") (1 "{KEY}")))')
        node.send_signal(signal.SIGHUP)
        until_line(node, b"event=reload_ignored changed_keys=resume.max_suspended")
        until_line(node, b"event=reloaded")
        client = client_of(port)
        assert client.read_line() == "UP r1"
        node.send_signal(signal.SIGTERM)
        assert client.read_line() == "MOVE"
        client.close()
        assert node.wait(10) == 0
        assert KEY.encode() not in node.stderr.read()


def test_the_log_keeps_its_lines_and_no_secret(capsys: pytest.CaptureFixture[str]) -> None:
    secrets: dict[str, Any] = {"token": "s3cret"}  # no field of the log has a secret by its type
    duration = timedelta(milliseconds=1.5)
    log(LogEvent.STARTED, error="two words", duration_ms=duration, node="x", **secrets)
    set_line_format(LineFormat.JSON)
    try:
        log(LogEvent.DRAINED, error='a "b"', pending=3, duration_ms=duration)
    finally:
        set_line_format(LineFormat.KEY_VALUE)
    first, second = capsys.readouterr().err.splitlines()
    assert first == 'event=started error="two words" duration_ms=1.5 node=x token=hidden:6'
    assert json.loads(second) == {"event": "drained", "error": 'a "b"', "pending": 3, "duration_ms": 1.5}


def test_lines_of_one_event_are_rate_limited() -> None:
    rate_limiter = RateLimiter()
    dropped_count = 0
    for _ in range(MAX_LINES_PER_WINDOW + 5):
        try:
            rate_limiter(None, "msg", {"event": "flood"})
        except DropEvent:
            dropped_count += 1
    assert dropped_count == 5
    assert rate_limiter(None, "msg", {"event": "other"}) == {"event": "other"}


def test_the_next_line_of_an_event_has_the_number_of_dropped_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    rate_limiter = RateLimiter()
    moment = 0.0
    monkeypatch.setattr("tansyladder.log_writer.time.monotonic", lambda: moment)
    for _ in range(MAX_LINES_PER_WINDOW):
        rate_limiter(None, "msg", {"event": "flood"})
    with pytest.raises(DropEvent):
        rate_limiter(None, "msg", {"event": "flood"})
    moment = RATE_WINDOW.total_seconds()
    assert rate_limiter(None, "msg", {"event": "flood"}) == {"event": "flood", "dropped_lines": 1}
    assert rate_limiter(None, "msg", {"event": "flood"}) == {"event": "flood"}
