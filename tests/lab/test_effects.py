"""No request takes effect twice over restarts, and the checker finds each guard that is taken out.

The rules of the checker are tested on histories, and then on a real node among hosts that break, refuse and
delay requests (`lab effects`).
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from tansyladder.lab import effects
from tansyladder.lab.effect_history import (
    ALLOWED_LATENESS,
    EffectClass,
    EffectEvent,
    LineReceived,
    LineRefused,
    RequestAnswered,
    RequestOpened,
    find_unsafe,
)
from tansyladder.lab.effects import EffectsSettings
from tansyladder.policy.settings import DeduplicationScope, Idempotency
from tests.lab.without_retry_guard import RetryGuard

WINDOW = timedelta(seconds=1)
CLASSES = {
    "read": EffectClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, WINDOW),
    "keyed": EffectClass(Idempotency.WITH_KEY, DeduplicationScope.ALL, WINDOW),
    "zonal": EffectClass(Idempotency.WITH_KEY, DeduplicationScope.ZONE, WINDOW),
    "once": EffectClass(Idempotency.NONE, DeduplicationScope.ALL, WINDOW),
}
START = timedelta(seconds=10)
IN_WINDOW = START + WINDOW + ALLOWED_LATENESS
AFTER_WINDOW = IN_WINDOW + timedelta(milliseconds=1)
REQUESTS = 100  # in a round
HOSTS = 16
MAX_ROUNDS = 12  # in which a guard that is taken out must be found; most are found in the first one


@pytest.mark.parametrize(
    ("at", "unsafe_repeats", "unsafe_rejections"),
    [
        (IN_WINDOW, {"once"}, {"zonal", "once"}),
        (AFTER_WINDOW, {"keyed", "zonal", "once"}, {"keyed", "zonal", "once"}),
    ],
)
def test_the_checker_knows_which_classes_may_be_repeated_and_rejected(
    at: timedelta, unsafe_repeats: set[str], unsafe_rejections: set[str]
) -> None:
    repeats, rejections = set(), set()
    for name in CLASSES:
        executed: list[EffectEvent] = [RequestOpened(START, "1", name), LineReceived(START, "1", "s0")]
        if find_unsafe([*executed, LineReceived(at, "1", "s1")], CLASSES):
            repeats.add(name)
        if find_unsafe([*executed, RequestAnswered(at, "1", "BUSY")], CLASSES):
            rejections.add(name)
        assert not find_unsafe([*executed, RequestAnswered(at, "1", "ERR")], CLASSES)
    assert (repeats, rejections) == (unsafe_repeats, unsafe_rejections)


def test_a_refused_line_has_no_effect() -> None:
    refused: list[EffectEvent] = [
        RequestOpened(START, "1", "once"),
        LineReceived(START, "1", "s0"),
        LineRefused(START, "1", "s0"),
    ]
    assert not find_unsafe([*refused, LineReceived(IN_WINDOW, "1", "s1")], CLASSES)
    assert not find_unsafe([*refused, RequestAnswered(IN_WINDOW, "1", "BUSY")], CLASSES)


def test_no_request_takes_effect_twice_while_a_node_is_restarted() -> None:
    report = asyncio.run(effects.run(EffectsSettings(2, REQUESTS, HOSTS, seed=1)))
    assert report.unsafe == 0, report.cases
    assert report.received > REQUESTS  # hosts had enough to do for the run to mean something


async def count_unsafe_without(guard: RetryGuard) -> int:
    """Play rounds without a guard until the checker finds something; return how much it has found."""
    program = ("-m", "tests.lab.without_retry_guard", guard.value)
    keyed = ("keyed", "zonal")
    class_names = keyed if guard is RetryGuard.SEND_TIME else tuple(effects.CLASSES)
    for seed in range(MAX_ROUNDS):
        report = await effects.run(EffectsSettings(1, REQUESTS, HOSTS, seed, class_names, program))
        if report.unsafe:
            return report.unsafe
    return 0


async def count_unsafe_without_each() -> dict[RetryGuard, int]:
    """Play without each guard at the same time."""
    counts = await asyncio.gather(*(count_unsafe_without(guard) for guard in RetryGuard))
    return dict(zip(RetryGuard, counts, strict=True))


def test_the_checker_finds_each_guard_that_is_taken_out() -> None:
    found = asyncio.run(count_unsafe_without_each())
    assert all(found.values()), found
