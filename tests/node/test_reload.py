"""New settings while the node runs: all or nothing, and what is under way keeps its class's terms."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyladder.config.errors import ConfigError
from tansyladder.config.platform import load
from tansyladder.config.reload import reload
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
from tests.node.harness import Node, Peer, ScriptedServer, answer_up, running_node
from tests.policy.harness import MILLISECOND, SECOND, endpoint, make_settings

Edit = Callable[[dict[str, Any]], None]


def setting(path: str, value: object = None) -> Edit:
    """Set a value deep in the file, or take its key out."""

    def edit(whole: dict[str, Any]) -> None:
        *way, last = path.split(".")
        at: Any = whole
        for name in way:
            at = at[int(name)] if isinstance(at, list) else at[name]
        if value is None:
            del at[last]
        else:
            at[last] = value

    return edit


@pytest.mark.parametrize(
    ("edit", "named"),
    [
        (setting("settings.classes.0.hard_limit", 0), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", -5), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", "1200000"), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", True), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", [5]), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", 1e300), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit", 0.5), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.hard_limit"), "settings.classes.0.hard_limit"),
        (setting("settings.classes.0.name"), "settings.classes.0.name"),
        (setting("settings.classes", []), "settings.classes"),
        (setting("settings.ceilings.attempts_cap", 0), "settings.ceilings.attempts_cap"),
        (setting("settings.ceilings.attempts_cap", False), "settings.ceilings.attempts_cap"),
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
def test_a_broken_file_changes_nothing_and_names_its_key(tmp_path: Path, edit: Edit, named: str) -> None:
    with Office(tmp_path) as node:
        before = (node.node.configuration.config, dict(node.node.configuration.class_numbers))
        node.edit(edit)
        assert named in node.refused()
        assert (node.node.configuration.config, dict(node.node.configuration.class_numbers)) == before


@pytest.mark.parametrize("text", ["", " ", "{", "[]", "null", "\xff", '{"settings": {"classes": [NaN]}}'])
def test_a_file_that_is_no_configuration_changes_nothing(tmp_path: Path, text: str) -> None:
    with Office(tmp_path) as node:
        node.file.write_bytes(text.encode("latin-1"))
        assert node.refused()


class Office:
    """A node, its file, and a reader that is asked directly instead of by a signal."""

    def __init__(self, tmp_path: Path, *members: ScriptedServer) -> None:
        self.file = tmp_path / "config.json"
        self._node = running_node(tmp_path, *members)

    def __enter__(self) -> Office:
        self.node: Node = self._node.__enter__()
        self.environ = {"GW_CONFIG": str(self.file)}
        self.reloader = Reloader(
            self.environ, self.node.context, self.node.parts.new_discovery_client(), None
        )
        return self

    def __exit__(self, *error: Any) -> None:
        self._node.__exit__(*error)

    def edit(self, *edits: Edit) -> None:
        whole = json.loads(self.file.read_text())
        for edit in edits:
            edit(whole)
        self.file.write_text(json.dumps(whole))

    def refused(self) -> str:
        with pytest.raises(ConfigError) as err:
            reload(self.environ, self.node.configuration.config)
        files = self.node.metrics.totals()["config_rejected"]
        self.reloader.reload_now()
        assert self.node.metrics.totals()["config_rejected"] == files + 1  # type: ignore[operator]
        return str(err.value)


def echoes(peer: Peer) -> None:
    for said in iter(peer.read_line, ""):
        peer.send_lines(said)


def test_classes_come_and_go_and_established_connections_stay(tmp_path: Path) -> None:
    with Office(tmp_path, ScriptedServer(answer_up(echoes))) as node:
        runner = node.node.runner
        configuration = node.node.configuration
        old = node.node.open()
        assert old.read_line() == "UP r1"
        terms = copy.deepcopy(json.loads(node.file.read_text())["settings"]["classes"][0])
        other = terms | {"name": "draw", "hard_limit": 900_000, "effect": "non_idempotent"}
        node.edit(setting("settings.classes", [other]), setting("settings.ceilings.attempts_cap", 1))
        node.edit(setting("name", "else"), setting("settings.ceilings.connect_timeout", 50_000))
        node.reloader.reload_now()
        assert node.node.metrics.totals()["config_applied"] == 1
        assert (configuration.config.name, configuration.settings.connect_timeout_us) == ("n0", 50_000)
        gone, new = node.node.open(), node.node.open("c=draw,d=900")
        assert (gone.read_line(), new.read_line()) == ("ERR", "UP r1")
        for client in (old, new):
            client.send_lines("M 1")
            assert client.read_line() == "M 1"  # connections that stand keep their class
        assert runner.wait_for(Settings).retired_classes == {0}
        shorter = other | {"hard_limit": 700_000}
        node.edit(setting("settings.classes", [terms, shorter]))
        assert "settings.classes.0.effect: missing" in node.refused()  # the default would be a laxer one
        node.edit(setting("settings.classes", [terms | {"effect": "read_like"}, shorter]))
        node.reloader.reload_now()
        assert configuration.class_numbers == {
            "chat": 0,
            "draw": 2,
        }  # old terms have their old number, new ones a new one
        assert [c.deadline_us for c in configuration.settings.classes] == [1_200_000, 900_000, 700_000]
        for client in (old, gone, new):
            client.close()


def test_keys_that_wait_for_a_restart_are_named(tmp_path: Path) -> None:
    with Office(tmp_path) as node:
        node.edit(setting("limits.sockets", 99), setting("settings.localities", ["b", "a"]))
        node.edit(setting("settings.rules.ask_within", 5_000_000))
        _, taken, fixed = reload(node.environ, node.node.configuration.config)
        assert (taken, fixed) == (["settings.rules.ask_within"], ["limits.sockets", "settings.localities"])
        assert load(node.environ).limits.sockets == 99


@given(
    st.lists(st.tuples(st.integers(50, 900), st.integers(1, 5)), min_size=1, max_size=4),
    st.integers(0, 2**16),
)
def test_a_request_under_way_keeps_its_deadline_and_attempts_only_shrink(
    changes: list[tuple[int, int]], seed: int
) -> None:
    """However the settings change, a request's attempts end by its own deadline, and none exceeds the cap."""
    first = make_settings(max_attempts=5)
    core = Balancer(first, seed, 0)
    core.handle(0, [EndpointListUpdate(ListUpdateKind.CACHED, tuple(endpoint(n) for n in range(4)))])
    actions = core.handle(0, [RequestReceived(1, 0, 0, 2 * SECOND, key=7)])
    classes, now, sent, cap = first.classes, 0, 0, 5
    timers: list[SetTimer] = []
    for deadline, cap in [(0, 5), *changes]:
        if deadline:
            new = ClassSettings(
                latency_objective_us=50 * MILLISECOND,
                deadline_us=deadline * MILLISECOND,
                message_latency_objective_us=20 * MILLISECOND,
            )
            classes = (*classes, new)
            retired = frozenset(range(len(classes) - 1))
            told = make_settings(max_attempts=cap)
            told = Settings(
                **{
                    **{f: getattr(told, f) for f in told.__slots__},
                    "classes": classes,
                    "retired_classes": retired,
                }
            )
            actions = core.handle(now, [told])
            assert core.context.reaction_time_us == deadline * MILLISECOND  # paces go by the classes in force
        while actions or timers:
            timers += [a for a in actions if isinstance(a, SetTimer)]
            for action in actions:
                if isinstance(action, Reject | Fail):
                    return
                if isinstance(action, StartAttempt):
                    sent += 1
                    assert sent <= cap
                    assert now + action.timeout_us <= 2 * SECOND
            if any(isinstance(a, StartAttempt) for a in actions):
                now += 1 * MILLISECOND
                actions = core.handle(
                    now, [AttemptEnded(1, sent - 1, 0, AttemptStatus.FULL, MILLISECOND, False)]
                )
                break
            timers.sort(key=lambda t: t.due_at_us)
            due = timers.pop(0)
            now = max(now, due.due_at_us)
            actions = core.handle(now, [TimerExpired(due.timer_id)])
