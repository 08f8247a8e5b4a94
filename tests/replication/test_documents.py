"""The state machine of documents, command by command."""

from __future__ import annotations

import msgspec
import pytest

from tansyladder.replication.document_messages import (
    Abort,
    ChangeOutcome,
    ChangeResult,
    Commit,
    DocumentCommand,
    LeaseGrant,
    LeaseRelease,
    Prepare,
    Prepared,
    Proposal,
    ValidationVote,
    change_step,
)
from tansyladder.replication.documents import MAX_CONTENT_BYTES, MAX_PREVIOUS_VERSIONS, Documents
from tansyladder.replication.units import MILLISECOND_US, SECOND_US

LEASE_DURATION_US = 30 * SECOND_US
SHORT_LEASE_US = 300 * MILLISECOND_US
ALL = ("a/1", "b/1", "c/1")


def state_with_change(*holders: str) -> Documents:
    """Make the state of three voters, with leases until 30 s and a change that has been proposed."""
    state = Documents(["a", "b", "c"])
    state.apply(LeaseGrant(holders, LEASE_DURATION_US, "a/1", 0))
    result = state.apply(Proposal("rules", b"d", 10, "ask", "a/1", 0))
    assert result == ChangeResult(ChangeOutcome.IN_PROGRESS, 1)
    return state


def test_the_outcomes_are_the_words_of_the_log_and_of_the_operators_answers() -> None:
    """Snapshots, peers of other versions and the operators' scripts read them."""
    words = ("done", "under way", "busy", "refused", "dropped", "over", "early", "armed", "not known")
    assert tuple(ChangeOutcome) == words
    encoded = msgspec.msgpack.encode(ChangeResult(ChangeOutcome.IN_PROGRESS, 3))
    assert msgspec.msgpack.decode(encoded) == ["under way", 3, ""]


@pytest.mark.parametrize(
    ("command", "tag", "step"),
    [
        (Proposal("note", b"d", 1, "ask", "a/1", 0), "offer", None),
        (ValidationVote(4, "a/1", 0, "note: no"), "verdict", ("vote", 4, "note: no")),
        (Prepare(4, "a/1", 0, 300), "arm", ("prepare", 4, "")),
        (Prepared(4, 1, "a/1", 0), "armed", None),
        (Commit(4, "a/1", 0), "hold", ("commit", 4, "")),
        (Abort(4, "a/1", 0, "no answer of c"), "drop", ("abort", 4, "no answer of c")),
        (LeaseRelease("a/1", 0), "leave", None),
    ],
)
def test_the_log_names_a_step_by_its_command_whatever_the_tag(
    command: DocumentCommand, tag: str, step: tuple[str, int, str] | None
) -> None:
    assert command.__struct_config__.tag == tag
    assert change_step(command) == step


def test_a_version_takes_effect_when_the_last_short_lease_has_ended() -> None:
    state = state_with_change(*ALL)
    prepare = Prepare(1, "a/1", 2 * SECOND_US, SHORT_LEASE_US)
    for incarnation in ALL:
        assert state.apply(prepare).outcome is ChangeOutcome.TOO_EARLY
        state.apply(ValidationVote(1, incarnation, SECOND_US))
    assert state.apply(Commit(1, "a/1", 2 * SECOND_US)).outcome is ChangeOutcome.TOO_EARLY
    assert state.apply(prepare).outcome is ChangeOutcome.DONE
    assert (
        state.apply(LeaseGrant(ALL, LEASE_DURATION_US, "a/1", 2 * SECOND_US)).outcome
        is ChangeOutcome.LEASES_FROZEN
    )
    for offset_ms, incarnation in enumerate(ALL):
        assert state.apply(Commit(1, "a/1", 3 * SECOND_US)).outcome is ChangeOutcome.TOO_EARLY
        state.apply(Prepared(1, 1, incarnation, 2 * SECOND_US + offset_ms * MILLISECOND_US))
    assert state.apply(Commit(1, "a/1", 2 * SECOND_US + 9 * MILLISECOND_US)) == ChangeResult(
        ChangeOutcome.DONE, 1
    )
    effective_at_us = 2 * SECOND_US + 2 * MILLISECOND_US + SHORT_LEASE_US
    assert state.version_at("rules", effective_at_us - 1) is None
    assert state.version_at("rules", effective_at_us) == state.versions("rules")[0]
    repeated = Proposal("rules", b"d", 10, "ask", "b/7", 9 * SECOND_US)
    assert state.apply(repeated) == ChangeResult(ChangeOutcome.DONE, 1)


@pytest.mark.parametrize(
    ("commands", "result"),
    [
        (
            [ValidationVote(1, "b/1", SECOND_US, "rules.2: no such zone")],
            ChangeResult(ChangeOutcome.REJECTED, 1, "b: rules.2: no such zone"),
        ),
        (
            [Abort(1, "a/1", SECOND_US, "no answer of c")],
            ChangeResult(ChangeOutcome.ABORTED, 1, "no answer of c"),
        ),
        (
            [Proposal("sets", b"e", 10, "other", "c/1", SECOND_US)],
            ChangeResult(ChangeOutcome.BUSY, 1, "rules"),
        ),
        ([Proposal("rules", b"d", 10, "ask", "c/1", SECOND_US)], ChangeResult(ChangeOutcome.IN_PROGRESS, 1)),
        ([ValidationVote(2, "b/1", SECOND_US)], ChangeResult(ChangeOutcome.STALE, 2)),
        (
            [
                *(ValidationVote(1, s, SECOND_US) for s in ALL),
                Prepare(1, "a/1", SECOND_US, SHORT_LEASE_US),
                Prepared(1, 2, "b/1", SECOND_US),
            ],
            ChangeResult(ChangeOutcome.STALE, 1),
        ),
        (
            [
                Abort(1, "a/1", SECOND_US, "x"),
                Proposal("rules", b"d", MAX_CONTENT_BYTES + 1, "n", "a/1", SECOND_US),
            ],
            ChangeResult(ChangeOutcome.REJECTED, 0, f"size: from 1 to {MAX_CONTENT_BYTES} bytes"),
        ),
    ],
)
def test_the_last_of_the_commands_has_the_result(
    commands: list[DocumentCommand], result: ChangeResult
) -> None:
    state = state_with_change(*ALL)
    assert [state.apply(command) for command in commands][-1] == result
    assert not state.versions("rules")


@pytest.mark.parametrize("is_released", [False, True])
def test_a_silent_node_delays_a_change_until_its_lease_has_ended_or_is_released(is_released: bool) -> None:
    state = state_with_change(*ALL)
    for incarnation in ALL[:2]:
        state.apply(ValidationVote(1, incarnation, SECOND_US))
    if is_released:
        state.apply(LeaseRelease("c/1", SECOND_US))
    early_us = 20 * SECOND_US
    state.apply(LeaseGrant(ALL[:2], LEASE_DURATION_US, "a/1", early_us))
    early = state.apply(Prepare(1, "a/1", early_us, SHORT_LEASE_US))
    assert early.outcome is (ChangeOutcome.DONE if is_released else ChangeOutcome.TOO_EARLY)
    if not is_released:
        late = state.apply(Prepare(1, "a/1", LEASE_DURATION_US, SHORT_LEASE_US))
        assert late.outcome is ChangeOutcome.DONE
    assert state.change is not None
    assert state.change.participants == set(ALL[:2])


def test_a_majority_of_voters_accepts_a_change_before_it_is_prepared() -> None:
    state = state_with_change("a/1")
    state.apply(ValidationVote(1, "a/1", SECOND_US))
    assert state.apply(Prepare(1, "a/1", SECOND_US, SHORT_LEASE_US)).outcome is ChangeOutcome.TOO_EARLY
    state.apply(ValidationVote(1, "b/4", SECOND_US))
    assert state.apply(Prepare(1, "a/1", SECOND_US, SHORT_LEASE_US)).outcome is ChangeOutcome.DONE


def test_versions_are_kept_to_a_bound() -> None:
    state = Documents(["a"])
    for number in range(1, 2 * MAX_PREVIOUS_VERSIONS):
        state.apply(Proposal("rules", b"%d" % number, 1, f"ask{number}", "a/1", number * SECOND_US))
        state.apply(ValidationVote(number, "a/1", number * SECOND_US))
        state.apply(Prepare(number, "a/1", number * SECOND_US, SHORT_LEASE_US))
        assert state.apply(Commit(number, "a/1", number * SECOND_US)).outcome is ChangeOutcome.DONE
    numbers = [version.number for version in state.versions("rules")]
    assert numbers == list(range(MAX_PREVIOUS_VERSIONS - 1, 2 * MAX_PREVIOUS_VERSIONS))
    assert len(state.referenced_digests()) == MAX_PREVIOUS_VERSIONS + 1
