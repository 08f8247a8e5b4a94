"""The calls of the admin server and the names in their answers, with and without an operator's settings file.

Tested elsewhere: `status`, `standby`, `active` and their errors, invalid calls, and what the metrics of
`stats` count (`tests/node/test_admin_server.py`); the request `STATS` for an endpoint's load report
(`tests/node/test_second_deployment.py`). Not tested: the metric `stale` of `documents`, which appears
only after a node has lost its peers.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from tansyladder.lab.node import find_free_port
from tests.answers.program import RunningNode, platform_config, running_node

UNKNOWN = "-ERR unknown: {}: status, stats, standby or active expected"
STATS = [
    "responses",
    "tries",
    "unread",
    "config_applied",
    "config_rejected",
    "active",
    "pool_size",
    "pool_ejected",
    "phase",
]
STATS_OF_A_CLASS = ["ok", "shed", "errors", "left", "tries"]
DOCUMENT = ["number", "digest", "size", "since", "here"]
DECISION_FIELDS = ["at", "ident", "numbers"]


@pytest.fixture(scope="module")
def plain_node(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RunningNode]:
    """A node without an operator's settings file, as on the platform."""
    with running_node(tmp_path_factory.mktemp("plain"), platform_config("127.0.0.1:1")) as node:
        yield node


def fleet_settings(folder: Path, members: dict[str, int]) -> str:
    """Return settings of a cluster with documents, in which only the node `n0` is a voter."""
    addresses = " ".join(f'({name} "127.0.0.1:{port}")' for name, port in members.items())
    return f"""
    (resume (enabled true) (keys (1 "{"ab" * 32}")))
    (store (enabled true) (directory "{folder}/store"))
    (peers (enabled true) (fleet "f") (key "{"cd" * 32}") (voters "n0") (members {addresses}))
    (documents (enabled true) (decision_log "{folder}/stamps"))
    """


@pytest.fixture(scope="module")
def document_nodes(tmp_path_factory: pytest.TempPathFactory) -> Iterator[list[RunningNode]]:
    """Two nodes with resumable sessions, peers and documents; each of them holds a lease."""
    members = {"n0": find_free_port(), "n1": find_free_port()}
    with ExitStack() as stack:
        nodes = []
        for name in members:
            folder = tmp_path_factory.mktemp(name)
            config = platform_config("127.0.0.1:1", name=name)
            nodes.append(stack.enter_context(running_node(folder, config, fleet_settings(folder, members))))
        for node in nodes:
            node.call_until("documents", lambda line: json.loads(line)["lease_ms"] > 0)
        yield nodes


@pytest.fixture
def document_node(document_nodes: list[RunningNode]) -> RunningNode:
    """The voter of the two nodes."""
    return document_nodes[0]


def check_stats(node: RunningNode) -> None:
    line, end = node.call("stats")
    metrics = json.loads(line)
    assert list(metrics) == STATS
    assert {name: list(class_metrics) for name, class_metrics in metrics["responses"].items()} == {
        "chat": STATS_OF_A_CLASS
    }
    assert (metrics["pool_size"], metrics["phase"], end) == (1, "serving", ".")


def test_stats_names_its_metrics_without_settings(plain_node: RunningNode) -> None:
    check_stats(plain_node)


def test_stats_names_the_same_metrics_with_peers_and_documents(document_node: RunningNode) -> None:
    check_stats(document_node)


@pytest.mark.parametrize("call", ["documents", "publish note wish /tmp/none", "change wish"])
def test_calls_on_documents_are_unknown_without_documents(plain_node: RunningNode, call: str) -> None:
    assert plain_node.call(call) == [UNKNOWN.format(call)]


@pytest.mark.parametrize("call", ["publish", "publish note wish", "change", "change a b", "documents all"])
def test_a_call_with_too_few_or_too_many_arguments_is_unknown(document_node: RunningNode, call: str) -> None:
    [answer] = document_node.call(call)
    assert answer.startswith("-ERR unknown: ")


def is_ended(answer: str) -> bool:
    return answer != "-ERR under way"


def test_a_document_is_published_and_described(document_node: RunningNode) -> None:
    line, end = document_node.call("documents")
    assert list(json.loads(line)) == ["lease_ms"]
    assert end == "."
    note = document_node.folder / "note.sexp"
    note.write_text('(note "no releases before Monday")')
    assert document_node.call(f"publish note first {note}") == ["+OK under way"]
    assert document_node.call_until("change first", is_ended) == ["+OK done 1"]
    assert document_node.call(f"publish note first {note}") == ["+OK under way"]  # the same change again
    line, _ = document_node.call_until(
        "documents", lambda line: '"note":' in line
    )  # once Raft has applied the change on this node
    described = json.loads(line)
    assert list(described) == ["lease_ms", "note"]
    assert list(described["note"]) == DOCUMENT
    assert described["note"]["number"] == 1
    assert described["note"]["here"] is True


def test_the_answer_to_a_rejected_change_gives_the_reason(document_node: RunningNode) -> None:
    faulty = document_node.folder / "faulty.sexp"
    faulty.write_text("(note")
    assert document_node.call(f"publish note faulty {faulty}") == ["+OK under way"]
    [answer] = document_node.call_until("change faulty", is_ended)
    assert answer.startswith("-ERR refused: ")
    assert "note: not an S-expression" in answer
    assert document_node.call("change nobody") == ["-ERR not known"]
    missing = document_node.folder / "missing"
    assert document_node.call(f"publish note third {missing}") == ["-ERR file: No such file or directory"]


def test_the_decision_log_has_the_time_the_connection_and_the_version_numbers(
    document_node: RunningNode,
) -> None:
    assert document_node.first_answer("OPEN 5e 7f c=chat,d=300").startswith("BUSY")
    stamps = [json.loads(line) for line in (document_node.folder / "stamps").read_text().splitlines()]
    assert list(stamps[0]) == DECISION_FIELDS
    assert stamps[0]["ident"] == "5e"
