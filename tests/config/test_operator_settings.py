"""The operator's settings: errors, units, defaults, and a reload of the token keys."""

from __future__ import annotations

import contextlib
import signal
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.config.errors import OptionsError
from tansyladder.config.operator_settings import KeyEntry, Options, load, parse, restart_required_changes
from tests.node.harness import ScriptedServer, answer_up
from tests.node.program import connect_client, read_log_until, running_program

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
def test_any_text_is_either_parsed_or_rejected(text: str) -> None:
    with contextlib.suppress(OptionsError):
        parse(text)


def test_a_signal_reloads_the_token_keys(tmp_path: Path) -> None:
    """An invalid file changes nothing, restart-only changes are logged, and no key is written to the log."""
    file = tmp_path / "settings.sexp"
    file.write_text(f'(resume (enabled true) (keys (1 "{KEY}")))')
    host = ScriptedServer(answer_up(lambda peer: peer.send_lines(peer.read_line())))
    with running_program(tmp_path, host, arguments=("serve", "--settings", str(file))) as (node, port):
        assert node.stderr is not None
        file.write_text("(resume")
        node.send_signal(signal.SIGHUP)
        read_log_until(node, b'event=reload_failed error="file: brackets')
        file.write_text(f'(resume (enabled true) (max_suspended 9) (keys (2 "{"cd" * 32}") (1 "{KEY}")))')
        node.send_signal(signal.SIGHUP)
        read_log_until(node, b"event=reload_ignored changed_keys=resume.max_suspended")
        read_log_until(node, b"event=reloaded")
        client = connect_client(port)
        assert client.read_line() == "UP r1"
        node.send_signal(signal.SIGTERM)
        assert client.read_line() == "MOVE"
        client.close()
        assert node.wait(10) == 0
        assert KEY.encode() not in node.stderr.read()
