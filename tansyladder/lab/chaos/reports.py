"""The reports of experiments with a cluster.

The name given to a field by `msgspec.field` is its key in the JSON object.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from tansyladder.lab.chaos.schedule import Fault
from tansyladder.lab.output import JsonReport
from tansyladder.lab.report import Percentiles

Cases = dict[str, list[str]]  # the first violations of each checker, by its key


class ViolationCounts(msgspec.Struct, frozen=True):
    """The number of violations that each checker has found; the JSON keys are those of `CHECKERS`."""

    lost_lines: int
    duplicated_lines: int = msgspec.field(name="doubled_lines")
    shared_sessions: int = msgspec.field(name="two_owners")
    reused_tokens: int = msgspec.field(name="token_twice")
    wrong_answers: int = msgspec.field(name="answers_wrong")
    lost_sessions: int = msgspec.field(name="sessions_lost")
    host_invariant_violations: int = msgspec.field(name="rules_broken")
    inconsistent_documents: int = msgspec.field(name="documents_mixed")
    orphaned_connections: int = msgspec.field(name="orphans")


class TakeoverReport(JsonReport, frozen=True, kw_only=True):
    """How many sessions of a killed and of a paused node were resumed, and how fast."""

    INLINED: ClassVar[frozenset[str]] = frozenset({"violations"})

    has_peers: bool = msgspec.field(name="peers")
    nodes: int
    hosts: int
    sessions: int
    seed: int
    affected_sessions: int = msgspec.field(name="sessions_hit")
    all_reconnected: bool = msgspec.field(name="all_back")  # in time
    resumed: int
    resumed_share: float  # of the affected sessions
    violations: ViolationCounts
    gap_p50_ms: float | None  # from when a client shows a token until the answer UP
    gap_p99_ms: float | None
    fenced: int  # owners that hosts rejected because of a newer epoch
    rejections: dict[str, int] = msgspec.field(name="refused")  # of tokens, by the answer
    cases: Cases
    resumed_share_without_peers: float | msgspec.UnsetType = msgspec.field(
        name="resumed_share_off", default=msgspec.UNSET
    )


class DuplicateTokensReport(JsonReport, frozen=True, kw_only=True):
    """How often tokens were accepted that were shown at two nodes at once and then a third time."""

    nodes: int
    tokens: int
    accepted_once: int = msgspec.field(name="opened_once")
    never_accepted: int = msgspec.field(name="opened_never")
    reused_tokens: int = msgspec.field(name="token_twice")
    wrong_answers: int = msgspec.field(name="answers_wrong")
    shared_sessions: int = msgspec.field(name="two_owners")
    cases: Cases


class PeersCostReport(JsonReport, frozen=True, kw_only=True):
    """The average CPU time, memory and peer traffic of a node, without peers and with them."""

    nodes: int
    sessions: int
    seconds: float
    cpu_ms_per_second_without_peers: float = msgspec.field(name="cpu_ms_a_node_and_second_off")
    memory_mb_without_peers: float = msgspec.field(name="memory_mb_a_node_off")
    bytes_per_second_without_peers: int = msgspec.field(name="bytes_a_node_and_second_off")
    cpu_ms_per_second_with_peers: float = msgspec.field(name="cpu_ms_a_node_and_second_on")
    memory_mb_with_peers: float = msgspec.field(name="memory_mb_a_node_on")
    bytes_per_second_with_peers: int = msgspec.field(name="bytes_a_node_and_second_on")


class ScheduleReport(JsonReport, frozen=True, kw_only=True):
    """The outcome of a run with a schedule of faults."""

    seed: int
    faults: int
    sessions: int
    all_reconnected: bool = msgspec.field(name="all_back")  # in time
    clients_with_new_session: int = msgspec.field(name="begun_anew")
    gaps_ms: Percentiles  # from when a client shows a token until the answer UP
    violations: ViolationCounts
    rejections: dict[str, int] = msgspec.field(name="refused")  # of tokens, by the answer
    cases: Cases


class FailedRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run with violations, with the seed and the faults that repeat it."""

    seed: int
    cases: Cases
    rejections: dict[str, int] = msgspec.field(name="refused")  # of tokens, by the answer
    faults: tuple[Fault, ...] = msgspec.field(name="schedule")


class ChaosReport(JsonReport, frozen=True, kw_only=True):
    """The sums over several runs, and the first run that violated an invariant."""

    runs: int = msgspec.field(name="histories")
    faults: int
    sessions: int
    violations: dict[str, int]  # by checker key; only checkers that found any
    first_failed_run: FailedRun | None = msgspec.field(name="first")


class DocumentsReport(JsonReport, frozen=True, kw_only=True):
    """The outcomes of the changes of a document, and the answers to probes in that time."""

    nodes: int
    seed: int
    changes: int
    committed: int = msgspec.field(name="done")
    rejected: int = msgspec.field(name="refused")
    probes: int = msgspec.field(name="knocks")
    served: int  # probes that were answered UP
    decisions: int = msgspec.field(name="stamped")  # logged ones, counted for each document
    fault_free_rejections: int = msgspec.field(name="turned_away_when_calm")  # BUSY after all faults
    fault_free_probes: int = msgspec.field(name="knocks_when_calm")  # probes after all faults
    publish_ms: Percentiles  # from a change's request to its commit
    violations: ViolationCounts
    cases: Cases
