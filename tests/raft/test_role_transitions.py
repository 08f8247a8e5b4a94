"""The roles of a node, and the transitions between them that its state allows."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from tansyladder.raft.node_state import ROLE_TRANSITIONS, Membership, NodeState, Role, RoleTransitionError
from tansyladder.raft.persistent_state import HardState, PersistentState

PATHS_TO_ROLE: dict[Role, tuple[Role, ...]] = {  # from a node's initial role to each role
    Role.FOLLOWER: (),
    Role.PRE_CANDIDATE: (Role.PRE_CANDIDATE,),
    Role.CANDIDATE: (Role.PRE_CANDIDATE, Role.CANDIDATE),
    Role.LEADER: (Role.PRE_CANDIDATE, Role.CANDIDATE, Role.LEADER),
}


def enter_role(state: NodeState, role: Role) -> None:
    """Enter a role by the state's method for it."""
    methods: dict[Role, Callable[[], None]] = {
        Role.FOLLOWER: lambda: state.become_follower(state.term, ""),
        Role.PRE_CANDIDATE: state.become_pre_candidate,
        Role.CANDIDATE: state.become_candidate,
        Role.LEADER: state.become_leader,
    }
    methods[role]()


def state_with_role(role: Role) -> NodeState:
    """Create a node's state, and let it enter a role by the allowed transitions."""
    persisted = PersistentState(HardState(disk_id="d1"))
    state = NodeState(Membership("n1", ["n1", "n2", "n3"], []), persisted, Random(1), 0)
    for step in PATHS_TO_ROLE[role]:
        enter_role(state, step)
    return state


@pytest.mark.parametrize("target", Role, ids=lambda role: role.name)
@pytest.mark.parametrize("current", Role, ids=lambda role: role.name)
def test_only_the_transitions_of_the_table_are_allowed(current: Role, target: Role) -> None:
    state = state_with_role(current)
    assert state.role is current
    if target in ROLE_TRANSITIONS[current]:
        enter_role(state, target)
        assert state.role is target
    else:
        with pytest.raises(RoleTransitionError):
            enter_role(state, target)
        assert state.role is current


def test_a_candidate_votes_for_itself_in_a_new_term_and_leads_that_term() -> None:
    state = state_with_role(Role.CANDIDATE)
    assert (state.term, state.hard_state.voted_for) == (1, "n1")
    state.become_leader()
    assert (state.term, state.leader) == (1, "n1")
