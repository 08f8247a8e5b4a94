"""A process that is started with the environment from before a move of discovery finds the new address.

Guards against docs/incidents/2026-12-07-new-version-polls-the-old-discovery.md: a new version polled the old
address for ever, and sent requests to endpoints that drained.
"""

from __future__ import annotations

import json
import signal
import subprocess
from pathlib import Path

import pytest

from tests.node.harness import (
    Peer,
    ScriptedDiscovery,
    ScriptedServer,
    answer_up,
    endpoint_entry,
    load_test_config,
    read_until_closed,
)
from tests.node.program import program_started_again, read_log_until, running_program

NEW_LIST = b"event=endpoints_updated revision=9 is_complete=True"


def list_with(revision: int) -> ScriptedDiscovery:
    """Return a discovery service whose list has this revision and one endpoint."""
    return ScriptedDiscovery(revision, endpoint_entry("s0", "127.0.0.1:9"))


def never_answer(peer: Peer) -> None:
    """A script that reads a call and never answers it."""
    read_until_closed(peer)
    peer.read_line()


def move_discovery(process: subprocess.Popen[bytes], tmp_path: Path, new: ScriptedDiscovery) -> None:
    """Name the new address in the configuration file, as the platform does, and send SIGHUP."""
    file = tmp_path / "config.json"
    file.write_text(json.dumps(json.loads(file.read_text()) | {"discovery": new.address}))
    process.send_signal(signal.SIGHUP)
    read_log_until(process, f"event=reloaded discovery={new.address} is_discovery_switched=True".encode())


@pytest.mark.parametrize("is_old_address_closed", [True, False])
def test_a_new_version_polls_the_address_that_the_running_process_was_moved_to(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, *, is_old_address_closed: bool
) -> None:
    """An old address that still answers must not be polled either: its list is outdated."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    old, new = list_with(5), list_with(9)
    host = ScriptedServer(answer_up(read_until_closed))
    with running_program(tmp_path, host, discovery=old.address) as (process, port):
        move_discovery(process, tmp_path, new)
        if is_old_address_closed:
            old.listener.close()
        call_count = len(old.calls)
        with program_started_again(tmp_path, port, GW_DISCOVERY=old.address) as successor:
            read_log_until(successor, NEW_LIST)
        assert len(old.calls) == call_count


def test_a_restarted_process_polls_the_address_in_the_file_if_that_of_its_environment_refuses_calls(
    tmp_path: Path,
) -> None:
    old, new = list_with(5), list_with(9)
    host = ScriptedServer(answer_up(read_until_closed))
    with running_program(tmp_path, host, discovery=old.address) as (process, port):
        move_discovery(process, tmp_path, new)
        old.listener.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    with program_started_again(tmp_path, port, GW_DISCOVERY=old.address) as restarted:
        read_log_until(restarted, f"event=discovery_failed discovery={old.address}".encode())
        read_log_until(restarted, NEW_LIST)


def test_an_address_in_the_environment_that_never_answers_gives_way_to_the_one_in_the_file(
    tmp_path: Path,
) -> None:
    silent, new = ScriptedServer(never_answer), list_with(9)
    load_test_config(tmp_path, endpoint_entry("s0", "127.0.0.1:9"), discovery=new.address)
    with program_started_again(tmp_path, 0, GW_DISCOVERY=silent.address) as process:
        read_log_until(process, NEW_LIST)


def test_an_address_in_the_environment_that_answers_overrides_the_one_in_the_file(tmp_path: Path) -> None:
    overriding, in_file = list_with(9), list_with(5)
    load_test_config(tmp_path, endpoint_entry("s0", "127.0.0.1:9"), discovery=in_file.address)
    with program_started_again(tmp_path, 0, GW_DISCOVERY=overriding.address) as process:
        read_log_until(process, NEW_LIST)
        overriding.listener.close()  # an address that has answered keeps no alternative
        read_log_until(process, f"event=discovery_failed discovery={overriding.address}".encode())
        read_log_until(process, f"event=discovery_failed discovery={overriding.address}".encode())
    assert in_file.calls == []
