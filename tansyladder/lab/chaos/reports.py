"""The reports of experiments with a cluster; the names given to fields are the keys of their JSON objects."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from tansyladder.lab.chaos.schedule import Fault
from tansyladder.lab.output import JsonReport
from tansyladder.lab.report import Percentiles

Cases = dict[str, list[str]]  # the first violations, by the key of the checker that found them


class ViolationCounts(msgspec.Struct, frozen=True):
    """How many violations each checker has found; the keys are those of `checkers.CHECKERS`."""

    lost_lines: int
    duplicated_lines: int = msgspec.field(name="doubled_lines")
    shared_sessions: int = msgspec.field(name="two_owners")
    reused_tokens: int = msgspec.field(name="token_twice")
    wrong_answers: int = msgspec.field(name="answers_wrong")
    lost_sessions: int = msgspec.field(name="sessions_lost")
    broken_host_rules: int = msgspec.field(name="rules_broken")
    inconsistent_documents: int = msgspec.field(name="documents_mixed")
    orphaned_connections: int = msgspec.field(name="orphans")


class TakeoverReport(JsonReport, frozen=True, kw_only=True):
    """What became of the sessions of a node that was killed and of one that was paused."""

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
    gap_p50_ms: float | None  # from showing a token to UP
    gap_p99_ms: float | None
    fenced: int  # owners that hosts rejected, as a newer epoch had their session
    rejections: dict[str, int] = msgspec.field(name="refused")  # of tokens, by the answer
    cases: Cases
    resumed_share_without_peers: float | msgspec.UnsetType = msgspec.field(
        name="resumed_share_off", default=msgspec.UNSET
    )


class DuplicateTokensReport(JsonReport, frozen=True, kw_only=True):
    """How often tokens were accepted that were shown at two nodes at once."""

    nodes: int
    tokens: int
    accepted_once: int = msgspec.field(name="opened_once")
    never_accepted: int = msgspec.field(name="opened_never")
    reused_tokens: int = msgspec.field(name="token_twice")
    wrong_answers: int = msgspec.field(name="answers_wrong")
    shared_sessions: int = msgspec.field(name="two_owners")
    cases: Cases


class PeersCostReport(JsonReport, frozen=True, kw_only=True):
    """What a node costs on average, without peers and with them."""

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
    """What a schedule of faults led to."""

    seed: int
    faults: int
    sessions: int
    all_reconnected: bool = msgspec.field(name="all_back")  # in time
    clients_with_new_session: int = msgspec.field(name="begun_anew")
    gaps_ms: Percentiles  # from showing a token to UP
    violations: ViolationCounts
    rejections: dict[str, int] = msgspec.field(name="refused")  # of tokens, by the answer
    cases: Cases


class FailedRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run with violations, and all that it takes to repeat it."""

    seed: int
    cases: Cases
    rejections: dict[str, int] = msgspec.field(name="refused")  # of tokens, by the answer
    faults: tuple[Fault, ...] = msgspec.field(name="schedule")


class ChaosReport(JsonReport, frozen=True, kw_only=True):
    """The sums over several runs, and the first one that violated an invariant."""

    runs: int = msgspec.field(name="histories")
    faults: int
    sessions: int
    violations: dict[str, int]  # by the key of the checker, without those that found none
    first_failed_run: FailedRun | None = msgspec.field(name="first")


class DocumentsReport(JsonReport, frozen=True, kw_only=True):
    """How the changes of a document ended, and how probes were answered meanwhile."""

    nodes: int
    seed: int
    changes: int
    committed: int = msgspec.field(name="done")
    rejected: int = msgspec.field(name="refused")
    probes: int = msgspec.field(name="knocks")
    served: int  # probes that were answered UP
    decisions: int = msgspec.field(name="stamped")  # requests whose decision a node has logged
    probes_rejected_when_calm: int = msgspec.field(name="turned_away_when_calm")
    probes_when_calm: int = msgspec.field(name="knocks_when_calm")
    publish_ms: Percentiles  # from the request for a change to its commit
    violations: ViolationCounts
    cases: Cases
