"""The roles of a node, and the transitions that its state allows."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from tansyladder.raft.node_state import ROLE_TRANSITIONS, Membership, NodeState, Role, RoleTransitionError
from tansyladder.raft.persistent_state import HardState, PersistentState

PATHS: dict[Role, tuple[Role, ...]] = {  # from the first role of a node to each of the others
    Role.FOLLOWER: (),
    Role.PRE_CANDIDATE: (Role.PRE_CANDIDATE,),
    Role.CANDIDATE: (Role.PRE_CANDIDATE, Role.CANDIDATE),
    Role.LEADER: (Role.PRE_CANDIDATE, Role.CANDIDATE, Role.LEADER),
}


def enter(state: NodeState, role: Role) -> None:
    """Call the method of the state that enters a role."""
    methods: dict[Role, Callable[[], None]] = {
        Role.FOLLOWER: lambda: state.become_follower(state.term, ""),
        Role.PRE_CANDIDATE: state.become_pre_candidate,
        Role.CANDIDATE: state.become_candidate,
        Role.LEADER: state.become_leader,
    }
    methods[role]()


def state_in(role: Role) -> NodeState:
    """Make a node's state and bring it to a role."""
    persisted = PersistentState(HardState(disk_id="d1"))
    state = NodeState(Membership("n1", ["n1", "n2", "n3"], []), persisted, Random(1), 0)
    for step in PATHS[role]:
        enter(state, step)
    return state


@pytest.mark.parametrize("following", Role, ids=lambda role: role.name)
@pytest.mark.parametrize("present", Role, ids=lambda role: role.name)
def test_a_role_is_entered_only_as_the_table_of_transitions_allows(present: Role, following: Role) -> None:
    state = state_in(present)
    assert state.role is present
    if following in ROLE_TRANSITIONS[present]:
        enter(state, following)
        assert state.role is following
    else:
        with pytest.raises(RoleTransitionError):
            enter(state, following)
        assert state.role is present


def test_a_candidate_votes_for_itself_in_a_new_term_and_leads_that_term() -> None:
    state = state_in(Role.CANDIDATE)
    assert (state.term, state.hard_state.voted_for) == (1, "n1")
    state.become_leader()
    assert (state.term, state.leader) == (1, "n1")
