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
INCARNATIONS = ("a/1", "b/1", "c/1")
LEADER = "a/1"
KEY = "ask"


def state_with_change(*holders: str) -> Documents:
    """Create the state of three voters, with leases until 30 s and a proposed change."""
    state = Documents(["a", "b", "c"])
    state.apply(LeaseGrant(holders, LEASE_DURATION_US, LEADER, 0))
    assert state.apply(proposal()) == ChangeResult(ChangeOutcome.IN_PROGRESS, 1)
    return state


def proposal(*, node: str = LEADER, at_us: int = 0) -> Proposal:
    """Create the proposal of the change, or its repetition by another node."""
    return Proposal("rules", b"d", 10, KEY, node, at_us)


def accept(state: Documents, *incarnations: str, at_us: int = SECOND_US) -> None:
    """Apply votes that accept the change."""
    for incarnation in incarnations:
        state.apply(ValidationVote(1, incarnation, at_us))


def apply_prepare(state: Documents, at_us: int) -> ChangeOutcome:
    """Apply the leader's command to prepare the change, and return the outcome."""
    return state.apply(Prepare(1, LEADER, at_us, SHORT_LEASE_US)).outcome


def apply_commit(state: Documents, at_us: int) -> ChangeOutcome:
    """Apply the leader's command to commit the change, and return the outcome."""
    return state.apply(Commit(1, LEADER, at_us)).outcome


def test_the_encoded_outcomes_do_not_change() -> None:
    """Snapshots contain them, and peers of other versions and operators' scripts read them."""
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
def test_a_logged_step_has_the_name_of_its_command_not_the_tag(
    command: DocumentCommand, tag: str, step: tuple[str, int, str] | None
) -> None:
    assert command.__struct_config__.tag == tag
    assert change_step(command) == step


def test_a_version_takes_effect_when_the_last_short_lease_has_ended() -> None:
    state = state_with_change(*INCARNATIONS)
    prepared_at_us = 2 * SECOND_US
    for incarnation in INCARNATIONS:
        assert apply_prepare(state, prepared_at_us) is ChangeOutcome.TOO_EARLY
        accept(state, incarnation)
    assert apply_commit(state, prepared_at_us) is ChangeOutcome.TOO_EARLY
    assert apply_prepare(state, prepared_at_us) is ChangeOutcome.DONE
    grant = LeaseGrant(INCARNATIONS, LEASE_DURATION_US, LEADER, prepared_at_us)
    assert state.apply(grant).outcome is ChangeOutcome.LEASES_FROZEN
    for offset_ms, incarnation in enumerate(INCARNATIONS):
        assert apply_commit(state, 3 * SECOND_US) is ChangeOutcome.TOO_EARLY
        state.apply(Prepared(1, 1, incarnation, prepared_at_us + offset_ms * MILLISECOND_US))
    commit = Commit(1, LEADER, prepared_at_us + 9 * MILLISECOND_US)
    assert state.apply(commit) == ChangeResult(ChangeOutcome.DONE, 1)
    effective_at_us = prepared_at_us + 2 * MILLISECOND_US + SHORT_LEASE_US
    assert state.version_at("rules", effective_at_us - 1) is None
    assert state.version_at("rules", effective_at_us) == state.versions("rules")[0]
    repeated = proposal(node="b/7", at_us=9 * SECOND_US)
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
        ([proposal(node="c/1", at_us=SECOND_US)], ChangeResult(ChangeOutcome.IN_PROGRESS, 1)),
        ([ValidationVote(2, "b/1", SECOND_US)], ChangeResult(ChangeOutcome.STALE, 2)),
        (
            [
                *(ValidationVote(1, incarnation, SECOND_US) for incarnation in INCARNATIONS),
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
def test_commands_that_commit_no_version_return_the_reason(
    commands: list[DocumentCommand], result: ChangeResult
) -> None:
    state = state_with_change(*INCARNATIONS)
    assert [state.apply(command) for command in commands][-1] == result
    assert not state.versions("rules")


def state_with_a_silent_node() -> Documents:
    """Create a state in which `c/1` hasn't voted, and only the other leases were renewed, at 20 s."""
    state = state_with_change(*INCARNATIONS)
    accept(state, *INCARNATIONS[:2])
    state.apply(LeaseGrant(INCARNATIONS[:2], LEASE_DURATION_US, LEADER, 20 * SECOND_US))
    return state


def participants(state: Documents) -> set[str]:
    """Return the participants of the pending change's round."""
    assert state.change is not None
    return state.change.participants


def test_a_silent_node_delays_a_change_until_its_lease_has_ended() -> None:
    state = state_with_a_silent_node()
    assert apply_prepare(state, 20 * SECOND_US) is ChangeOutcome.TOO_EARLY
    assert apply_prepare(state, LEASE_DURATION_US) is ChangeOutcome.DONE
    assert participants(state) == set(INCARNATIONS[:2])


def test_a_silent_node_that_has_released_its_lease_does_not_delay_a_change() -> None:
    state = state_with_a_silent_node()
    state.apply(LeaseRelease("c/1", SECOND_US))
    assert apply_prepare(state, 20 * SECOND_US) is ChangeOutcome.DONE
    assert participants(state) == set(INCARNATIONS[:2])


def test_a_majority_of_voters_accepts_a_change_before_it_is_prepared() -> None:
    state = state_with_change("a/1")
    accept(state, "a/1")
    assert apply_prepare(state, SECOND_US) is ChangeOutcome.TOO_EARLY
    accept(state, "b/4")
    assert apply_prepare(state, SECOND_US) is ChangeOutcome.DONE


def test_the_number_of_known_versions_is_bounded() -> None:
    state = Documents(["a"])
    for number in range(1, 2 * MAX_PREVIOUS_VERSIONS):
        at_us = number * SECOND_US
        state.apply(Proposal("rules", b"%d" % number, 1, f"ask{number}", LEADER, at_us))
        state.apply(ValidationVote(number, LEADER, at_us))
        state.apply(Prepare(number, LEADER, at_us, SHORT_LEASE_US))
        assert state.apply(Commit(number, LEADER, at_us)).outcome is ChangeOutcome.DONE
    numbers = [version.number for version in state.versions("rules")]
    assert numbers == list(range(MAX_PREVIOUS_VERSIONS - 1, 2 * MAX_PREVIOUS_VERSIONS))
    assert len(state.referenced_digests()) == MAX_PREVIOUS_VERSIONS + 1
