"""Reloads of the settings: all or nothing, and requests in flight keep the settings of their class."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyladder.config.errors import ConfigError
from tansyladder.config.platform import load
from tansyladder.config.reload import reload
from tansyladder.node.active_configuration import ActiveConfiguration
from tansyladder.node.reload import Reloader
from tansyladder.policy.actions import Fail, Reject, SetTimer, StartAttempt
from tansyladder.policy.balancer import Balancer
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointListUpdate,
    ListUpdateKind,
    RequestReceived,
    TimerExpired,
)
from tansyladder.policy.settings import ClassSettings, Settings
from tests.node.harness import Node, ScriptedServer, answer_up, echo_lines, running_node
from tests.policy.harness import MILLISECOND, SECOND, make_endpoint, make_settings

Edit = Callable[[dict[str, Any]], None]


def setting(path: str, value: object = None) -> Edit:
    """Return an edit that sets the value at a path of the document, or removes its key."""

    def edit(document: dict[str, Any]) -> None:
        *parents, key = path.split(".")
        container: Any = document
        for name in parents:
            container = container[int(name)] if isinstance(container, list) else container[name]
        if value is None:
            del container[key]
        else:
            container[key] = value

    return edit


class ReloadableNode:
    """A node and its configuration file, which a test reloads by a direct call instead of a signal."""

    def __init__(self, tmp_path: Path, *endpoint_servers: ScriptedServer) -> None:
        self.file = tmp_path / "config.json"
        self._running = running_node(tmp_path, *endpoint_servers)

    def __enter__(self) -> ReloadableNode:
        self.node: Node = self._running.__enter__()
        self.environ = {"GW_CONFIG": str(self.file)}
        discovery = self.node.components.new_discovery_client()
        self.reloader = Reloader(self.environ, self.node.context, discovery, None)
        return self

    def __exit__(self, *error: Any) -> None:
        self._running.__exit__(*error)

    @property
    def configuration(self) -> ActiveConfiguration:
        """The active configuration."""
        return self.node.configuration

    def edit(self, *edits: Edit) -> None:
        """Apply edits to the configuration file."""
        document = json.loads(self.file.read_text())
        for edit in edits:
            edit(document)
        self.file.write_text(json.dumps(document))

    def rejection(self) -> str:
        """Reload the file, check that it is rejected, and return the error."""
        with pytest.raises(ConfigError) as err:
            reload(self.environ, self.configuration.config)
        count = self.node.metrics.totals()["config_rejected"]
        self.reloader.reload_now()
        assert self.node.metrics.totals()["config_rejected"] == count + 1  # type: ignore[operator]
        return str(err.value)


@pytest.mark.parametrize(
    ("edit", "path_in_error"),
    [
        (setting("settings.classes.0.hard_limit", 0), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", -5), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", "1200000"), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", value=True), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", [5]), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", 1e300), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", 0.5), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit"), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.name"), "settings.classes.0.name"),
        (setting("settings.classes", []), "settings.classes"),
        (setting("settings.ceilings.attempts_cap", 0), "settings.ceilings.attempts_cap"),
        (setting("settings.ceilings.attempts_cap", value=False), "settings.ceilings.attempts_cap"),
        (setting("settings.ceilings.attempts_cap", "NaN"), "settings.ceilings.attempts_cap"),
        (setting("settings.ceilings.attempts_cap"), "settings.ceilings.attempts_cap"),
        (setting("settings.ceilings"), "settings.ceilings.attempts_cap"),
        (setting("settings.rules.ask_within"), "settings.rules.ask_within"),
        (setting("settings"), "settings.classes"),
        (setting("settings", 5), "settings"),
        (setting("limits"), "limits.cores"),
        (setting("discovery"), "discovery"),
        (setting("discovery", "nowhere"), "discovery"),
    ],
)
def test_an_invalid_file_changes_nothing_and_the_error_names_the_key(
    tmp_path: Path, edit: Edit, path_in_error: str
) -> None:
    with ReloadableNode(tmp_path) as node:
        before = (node.configuration.config, dict(node.configuration.class_numbers))
        node.edit(edit)
        assert path_in_error in node.rejection()
        assert (node.configuration.config, dict(node.configuration.class_numbers)) == before


@pytest.mark.parametrize("text", ["", " ", "{", "[]", "null", "\xff", '{"settings": {"classes": [NaN]}}'])
def test_a_file_that_is_not_a_configuration_changes_nothing(tmp_path: Path, text: str) -> None:
    with ReloadableNode(tmp_path) as node:
        node.file.write_bytes(text.encode("latin-1"))
        assert node.rejection()


def test_classes_are_added_and_removed_while_established_connections_stay(tmp_path: Path) -> None:
    with ReloadableNode(tmp_path, ScriptedServer(answer_up(echo_lines))) as node:
        runner = node.node.runner
        configuration = node.configuration
        old = node.node.open()
        assert old.read_line() == "UP r1"
        chat = copy.deepcopy(json.loads(node.file.read_text())["settings"]["classes"][0])
        draw = chat | {"name": "draw", "hard_limit": 900_000, "effect": "non_idempotent"}
        node.edit(setting("settings.classes", [draw]), setting("settings.ceilings.attempts_cap", 1))
        node.edit(setting("name", "else"), setting("settings.ceilings.connect_timeout", 50_000))
        node.reloader.reload_now()
        assert node.node.metrics.totals()["config_applied"] == 1
        assert (configuration.config.name, configuration.settings.connect_timeout_us) == ("n0", 50_000)
        gone, new = node.node.open(), node.node.open("c=draw,d=900")
        assert (gone.read_line(), new.read_line()) == ("ERR", "UP r1")
        for client in (old, new):
            client.send_lines("M 1")
            assert client.read_line() == "M 1"  # an established connection keeps its class
        assert runner.wait_for(Settings).retired_classes == {0}
        shorter = draw | {"hard_limit": 700_000}
        node.edit(setting("settings.classes", [chat, shorter]))
        # A key that is left out is an error, as the default, here `read_like`, may be less strict.
        assert "settings.classes.0.effect: missing" in node.rejection()
        node.edit(setting("settings.classes", [chat | {"effect": "read_like"}, shorter]))
        node.reloader.reload_now()
        # Unchanged class settings keep their number, changed ones get a new number.
        assert configuration.class_numbers == {"chat": 0, "draw": 2}
        deadlines = [each.deadline_us for each in configuration.settings.classes]
        assert deadlines == [1_200_000, 900_000, 700_000]
        for client in (old, gone, new):
            client.close()


def test_changed_keys_that_need_a_restart_are_reported(tmp_path: Path) -> None:
    with ReloadableNode(tmp_path) as node:
        node.edit(setting("limits.sockets", 99), setting("settings.localities", ["b", "a"]))
        node.edit(setting("settings.rules.ask_within", 5_000_000))
        reloaded = reload(node.environ, node.configuration.config)
        assert reloaded.changed_keys == ["settings.rules.ask_within"]
        assert reloaded.restart_only_keys == ["limits.sockets", "settings.localities"]
        assert load(node.environ).limits.sockets == 99


class RequestUnderReloads:
    """One request of a policy whose settings change between its attempts; each attempt ends with BUSY."""

    def __init__(self, seed: int, max_attempts: int, deadline_us: int) -> None:
        settings = make_settings(max_attempts=max_attempts)
        self._classes = settings.classes
        self._balancer = Balancer(settings, seed, 0)
        self._max_attempts = max_attempts
        self._deadline_us = deadline_us
        self._now_us = 0
        self._attempt_count = 0
        self._timers: list[SetTimer] = []
        listed = tuple(make_endpoint(number) for number in range(4))
        self._balancer.handle(0, [EndpointListUpdate(ListUpdateKind.CACHED, listed)])
        self._actions = self._balancer.handle(0, [RequestReceived(1, 0, 0, deadline_us, key=7)])

    def reconfigure(self, deadline_ms: int, max_attempts: int) -> None:
        """Pass settings to the policy in which a new class is the only one in force."""
        new_class = ClassSettings(
            latency_objective_us=50 * MILLISECOND,
            deadline_us=deadline_ms * MILLISECOND,
            message_latency_objective_us=20 * MILLISECOND,
        )
        self._classes = (*self._classes, new_class)
        settings = replace(
            make_settings(max_attempts=max_attempts),
            classes=self._classes,
            retired_classes=frozenset(range(len(self._classes) - 1)),
        )
        self._max_attempts = max_attempts
        self._actions = self._balancer.handle(self._now_us, [settings])
        # Intervals depend only on the classes in force.
        assert self._balancer.components.active_settings.limits.reaction_time_us == deadline_ms * MILLISECOND

    def run_one_attempt(self) -> bool:
        """Advance the time until an attempt has ended; return False if the request got its final answer."""
        while self._actions or self._timers:
            self._timers += [action for action in self._actions if isinstance(action, SetTimer)]
            for action in self._actions:
                if isinstance(action, Reject | Fail):
                    return False
                if isinstance(action, StartAttempt):
                    self._check_attempt(action)
            if any(isinstance(action, StartAttempt) for action in self._actions):
                self._end_attempt()
                return True
            self._expire_next_timer()
        return True

    def _check_attempt(self, action: StartAttempt) -> None:
        self._attempt_count += 1
        assert self._attempt_count <= self._max_attempts
        assert self._now_us + action.timeout_us <= self._deadline_us

    def _end_attempt(self) -> None:
        self._now_us += 1 * MILLISECOND
        ended = AttemptEnded(
            1, self._attempt_count - 1, 0, AttemptStatus.FULL, MILLISECOND, is_request_over=False
        )
        self._actions = self._balancer.handle(self._now_us, [ended])

    def _expire_next_timer(self) -> None:
        self._timers.sort(key=lambda timer: timer.due_at_us)
        timer = self._timers.pop(0)
        self._now_us = max(self._now_us, timer.due_at_us)
        self._actions = self._balancer.handle(self._now_us, [TimerExpired(timer.timer_id)])


@given(
    st.lists(st.tuples(st.integers(50, 900), st.integers(1, 5)), min_size=1, max_size=4),
    st.integers(0, 2**16),
)
def test_a_request_in_flight_keeps_its_deadline_and_obeys_the_attempts_cap_in_force(
    changes: list[tuple[int, int]], seed: int
) -> None:
    """Whatever the new settings are, attempts end by the request's own deadline and obey the cap in force."""
    request = RequestUnderReloads(seed, max_attempts=5, deadline_us=2 * SECOND)
    has_answer = not request.run_one_attempt()
    for deadline_ms, max_attempts in changes:
        if has_answer:
            return
        request.reconfigure(deadline_ms, max_attempts)
        has_answer = not request.run_one_attempt()
