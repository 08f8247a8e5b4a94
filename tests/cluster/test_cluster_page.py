"""The types and functions named in `docs/cluster.md` exist."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.page_names import is_known, names_on, unknown_names

PAGE = Path(__file__).parent.parent.parent / "docs" / "cluster.md"
MIN_NAME_COUNT = 60  # a lower count would mean that the names are not read from the page correctly
EXAMPLE_PAGE = """
`raft.node.RaftNode` and `Role.LEADER`, `RaftNode.handle(now)`; not `UP`, `resume.keys` or `serve.py`.

```
node --- AppendEntries(term) ---> LeaseHolder.prepare, cluster.inbox: Commit
```
"""


def test_the_package_has_each_name_on_the_page() -> None:
    assert len(names_on(PAGE.read_text())) >= MIN_NAME_COUNT
    assert unknown_names(PAGE) == []


@pytest.mark.parametrize(
    "name",
    [
        "raft.node",
        "raft.node.RaftNode.handle",
        "raft.node_state.ROLE_TRANSITIONS",
        "Role.LEADER",
        "HardState.vote_floor",  # a field of a struct
        "Effects.messages",  # a field of a dataclass with a default factory
    ],
)
def test_a_name_of_the_package_is_known(name: str) -> None:
    assert is_known(name)


@pytest.mark.parametrize(
    "name",
    [
        "raft.nodes",
        "raft.node.RaftNode.step",
        "raft.node_state.ROLES",
        "Role.NONE",
        "HardState.floor",
        "RaftNodes",
    ],
)
def test_a_name_that_the_package_lacks_is_unknown(name: str) -> None:
    assert not is_known(name)


def test_names_in_backticks_and_in_diagrams_are_read_from_a_page() -> None:
    assert names_on(EXAMPLE_PAGE) == {
        "raft.node.RaftNode",
        "Role.LEADER",
        "RaftNode.handle",
        "AppendEntries",
        "LeaseHolder.prepare",
        "cluster.inbox",
    }
