"""Checkers of the invariants of resumable sessions; each is a pure function of the history of one run.

Each checker is named after its invariant and returns the violations that it finds. Reports list these under
the keys of CHECKERS, which must not change:

lost_lines, doubled_lines   each line of a session arrives once and in order, in both directions.
two_owners                  a host accepts a session's lines only under the newest epoch, and each epoch is
                            used by one node.
token_twice                 a token opens at most one connection in the whole cluster.
answers_wrong               a connection gets one final answer in time, unless a fault excuses a missing one.
sessions_lost               a client that shows the token of a live session resumes that session.
rules_broken                hosts get one attempt of a request at a time, none after announcing a drain, and
                            no invalid first line.
documents_mixed             once a request was decided under a version of a document, none is decided under an
                            earlier version; at the end all nodes have the same version in force.
orphans                     once clients have stopped sending, hosts have no more connections than there are
                            served clients.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

import msgspec

from tansyladder.lab.chaos.history import Event, EventKind, Party
from tansyladder.lab.chaos.reports import Cases, ViolationCounts
from tansyladder.lab.clients import FINAL_ANSWERS
from tansyladder.lab.report import MICROSECOND

# The longest deadline of a client, which is 2000 ms, plus margins of 500 ms and 100 ms.
ANSWER_DEADLINE_US = timedelta(milliseconds=2600) // MICROSECOND
# Faults of a node during which an answer from it may be missing.
EXCUSING_FAULTS = (EventKind.KILLED, EventKind.PAUSED, EventKind.LINK_CUT, EventKind.CONNECTIONS_RESET)
MAX_REPORTED_CASES = 3  # of each checker

Findings = list[str]


class LineFindings(NamedTuple):
    """Gaps in the line numbers of sessions, and lines that arrived more than once."""

    lost: Findings
    duplicated: Findings


class Outage(NamedTuple):
    """A period in which a node could not be reached."""

    start_us: int
    end_us: int


class _ClientSession(NamedTuple):
    """One session of a client: the client's number, and how many sessions it has begun so far."""

    client: int
    session_count: int


class _SessionEpoch(NamedTuple):
    """A session during one of its ownership epochs."""

    session_id: str
    epoch: int


class _LineSequence(NamedTuple):
    """A sequence of lines numbered from 1: a session's lines in one direction, as one side receives them."""

    receiver: str
    sender: str
    session_count: int = 0  # of a receiving client; each of its sessions starts at 1


def _session_of(event: Event) -> _ClientSession:
    return _ClientSession(event.client, event.session_count)


def no_line_lost(history: Sequence[Event]) -> Findings:
    """Find gaps in the numbers of received lines, and lines that no host has confirmed."""
    return _check_line_numbers(history).lost + _unconfirmed_lines(history)


def no_line_duplicated(history: Sequence[Event]) -> Findings:
    """Find lines that were received more than once."""
    return _check_line_numbers(history).duplicated


def _check_line_numbers(history: Sequence[Event]) -> LineFindings:
    """Compare the number of each received line with the highest one before it in its sequence."""
    findings = LineFindings([], [])
    last_numbers: Counter[_LineSequence] = Counter()
    for event in history:
        sequence = _sequence_of(event)
        if sequence is None:
            continue
        number = event.number
        last = last_numbers[sequence]
        line = f"{sequence.receiver}: {sequence.sender} line {number}"
        if number > last + 1:
            findings.lost.append(f"{line} received after line {last}")
        elif number <= last:
            findings.duplicated.append(f"{line} received again")
        last_numbers[sequence] = max(last, number)
    return findings


def _sequence_of(event: Event) -> _LineSequence | None:
    """Return the sequence of a received line; None for other events, and for sessions without an id."""
    if event.kind != EventKind.LINE_RECEIVED:
        return None
    if event.party == Party.CLIENT:
        return _LineSequence(f"client {event.client}", "host", event.session_count)
    if event.party == Party.HOST and event.session_id:
        return _LineSequence(f"session {event.session_id}", "client")
    return None


def _unconfirmed_lines(history: Sequence[Event]) -> Findings:
    """Find lines that no host has confirmed, for the clients that were served at the end."""
    sent: Counter[_ClientSession] = Counter()
    confirmed: Counter[_ClientSession] = Counter()
    served_sessions: dict[int, _ClientSession] = {}
    for event in history:
        session = _session_of(event)
        if event.party == Party.CLIENT and event.kind == EventKind.LINE_SENT:
            sent[session] = event.number
        elif event.party == Party.CLIENT and event.kind == EventKind.LINE_RECEIVED:
            confirmed[session] = max(confirmed[session], event.acknowledged_line)
        elif event.party == Party.CONTROLLER and event.kind == EventKind.CLIENT_CONNECTED:
            served_sessions[event.client] = session
    return [
        f"client {client}: {sent[session] - confirmed[session]} lines unconfirmed at the end"
        for client, session in served_sessions.items()
        if sent[session] > confirmed[session]
    ]


def single_owner(history: Sequence[Event]) -> Findings:
    """Find lines that hosts accepted from a superseded owner, and epochs that two nodes used."""
    findings: Findings = []
    newest_epochs: Counter[str] = Counter()  # by session id
    epoch_owners: dict[_SessionEpoch, int] = {}  # the node that first used each epoch
    for event in history:
        if event.party != Party.HOST or not event.session_id:
            continue
        newest = newest_epochs[event.session_id]
        if event.kind == EventKind.SESSION_ACQUIRED:
            owner = epoch_owners.setdefault(_SessionEpoch(event.session_id, event.epoch), event.node)
            findings += _check_acquisition(event, owner, newest)
            newest_epochs[event.session_id] = max(newest, event.epoch)
        elif event.kind == EventKind.LINE_RECEIVED and event.epoch < newest:
            findings.append(
                f"session {event.session_id}: line of node {event.node}, epoch {event.epoch} after {newest}"
            )
    return findings


def _check_acquisition(event: Event, epoch_owner: int, newest_epoch: int) -> Findings:
    """Find an epoch that another node has used, or that is older than the newest one."""
    findings: Findings = []
    session = f"session {event.session_id}"
    if epoch_owner != event.node:
        findings.append(f"{session}: epoch {event.epoch} used by nodes {epoch_owner} and {event.node}")
    if event.epoch < newest_epoch:
        findings.append(f"{session}: epoch {event.epoch} acquired after epoch {newest_epoch}")
    return findings


def token_used_once(history: Sequence[Event]) -> Findings:
    """Find tokens that opened more than one connection (answer UP)."""
    first_lines = _first_lines_with_token(history)
    use_counts = Counter(
        first_lines[event.connection_id].token
        for event in history
        if event.kind == EventKind.ANSWERED and event.label == "UP" and event.connection_id in first_lines
    )
    return [f"token {token[:24]}: opened {count} times" for token, count in use_counts.items() if count > 1]


def one_answer_in_time(history: Sequence[Event]) -> Findings:
    """Find answers that are no final answer, late or repeated, and missing ones that no fault excuses."""
    answer_counts = Counter(event.connection_id for event in history if event.kind == EventKind.ANSWERED)
    repeated = [
        f"connection {connection_id}: {count} answers"
        for connection_id, count in answer_counts.items()
        if count > 1
    ]
    return _wrong_answers(history) + _missing_answers(history) + repeated


def _wrong_answers(history: Sequence[Event]) -> Findings:
    """Find answers that are no final answer, and late ones."""
    findings: Findings = []
    sent_at_us: dict[str, int] = {}  # by connection id
    for event in history:
        if event.kind == EventKind.OPEN_SENT:
            sent_at_us[event.connection_id] = event.timestamp_us
        elif event.kind == EventKind.ANSWERED and event.label:
            delay_us = event.timestamp_us - sent_at_us[event.connection_id]
            if event.label not in FINAL_ANSWERS:
                findings.append(f"connection {event.connection_id}: no final answer: {event.detail[:60]!r}")
            elif delay_us > ANSWER_DEADLINE_US:
                findings.append(f"connection {event.connection_id}: answered after {delay_us} us")
    return findings


def _missing_answers(history: Sequence[Event]) -> Findings:
    """Find connections that got no answer although their node had no outage in that time."""
    findings: Findings = []
    nodes = {event.connection_id: event.node for event in history if event.kind == EventKind.FORWARDED}
    outages = _outages(history)
    end_us = history[-1].timestamp_us if history else 0
    first_lines = {event.connection_id: event for event in history if event.kind == EventKind.OPEN_SENT}
    answered = {event.connection_id for event in history if event.kind == EventKind.ANSWERED and event.label}
    for connection_id, event in first_lines.items():
        due_us = event.timestamp_us + ANSWER_DEADLINE_US
        node = nodes.get(connection_id, -1)
        is_excused = any(
            outage.start_us <= due_us and event.timestamp_us <= outage.end_us for outage in outages[node]
        )
        if connection_id not in answered and not is_excused and due_us < end_us:
            findings.append(f"connection {connection_id}: no answer from node {node}")
    return findings


def _outages(history: Sequence[Event]) -> defaultdict[int, list[Outage]]:
    """Return the outages of each node; one without a recorded end lasts until the history ends."""
    outages: defaultdict[int, list[Outage]] = defaultdict(list)
    starts_us: dict[int, int] = {}
    for event in history:
        if event.party != Party.CONTROLLER:
            continue
        if event.kind in EXCUSING_FAULTS:
            starts_us.setdefault(event.node, event.timestamp_us)
        elif event.kind == EventKind.RECOVERED and event.node in starts_us:
            outages[event.node].append(Outage(starts_us.pop(event.node), event.timestamp_us))
    for node, start_us in starts_us.items():
        outages[node].append(Outage(start_us, history[-1].timestamp_us))
    return outages


def no_session_lost(history: Sequence[Event]) -> Findings:
    """Find clients whose valid token was rejected, or whose session a MOVE line ended."""
    first_lines = _first_lines_with_token(history)
    findings: Findings = []
    for event in history:
        if event.kind == EventKind.MIGRATION_REQUESTED and event.token:
            findings.append(f"client {event.client}: session ended with MOVE")
        elif event.kind == EventKind.ANSWERED and event.label == "ERR" and event.connection_id in first_lines:
            first_line = first_lines[event.connection_id]
            if not first_line.detail:  # `experiments.duplicate_tokens` sets one: it repeats tokens
                findings.append(f"client {first_line.client}: {event.detail[:60]}")
    return findings


def _first_lines_with_token(history: Sequence[Event]) -> dict[str, Event]:
    """Return the OPEN_SENT events that have a token, by connection id."""
    return {
        event.connection_id: event for event in history if event.kind == EventKind.OPEN_SENT and event.token
    }


def no_host_invariant_violated(history: Sequence[Event]) -> Findings:
    """Return the violations that the hosts themselves have recorded."""
    return [
        f"{event.label}: {event.detail[:80]}"
        for event in history
        if event.party == Party.HOST and event.kind == EventKind.INVARIANT_VIOLATED
    ]


def no_orphaned_connection(history: Sequence[Event]) -> Findings:
    """Compare the number of connections at hosts with the number of served clients at the end."""
    from_controller = [event for event in history if event.party == Party.CONTROLLER]
    served = sum(event.kind == EventKind.CLIENT_CONNECTED for event in from_controller)
    at_hosts = sum(event.number for event in from_controller if event.kind == EventKind.HOST_CONNECTION_COUNT)
    return [f"{at_hosts} connections at hosts, {served} clients served"] if at_hosts > served else []


def documents_consistent(history: Sequence[Event]) -> Findings:
    """Find requests decided under an outdated version, and documents whose versions differ at the end."""
    return _outdated_decisions(history) + _differing_versions(history)


def _outdated_decisions(history: Sequence[Event]) -> Findings:
    """Find requests that were decided under an earlier version than a request before them."""
    findings: Findings = []
    newest: dict[str, Event] = {}  # the first decision under the newest version, by document
    decisions = [event for event in history if event.kind == EventKind.REQUEST_DECIDED]
    for event in sorted(decisions, key=lambda event: event.decided_at_us):
        first = newest.get(event.label)
        if first is not None and event.number < first.number:
            late_us = event.decided_at_us - first.decided_at_us
            findings.append(
                f"{event.label}: node {event.node} decides under {event.number}, {late_us} us after "
                f"node {first.node} did under {first.number}"
            )
        elif first is None or event.number > first.number:
            newest[event.label] = event
    return findings


def _differing_versions(history: Sequence[Event]) -> Findings:
    """Find documents of which nodes have different versions in force at the end."""
    versions: dict[str, set[int]] = defaultdict(set)  # by document
    for event in history:
        if event.kind == EventKind.DOCUMENT_IN_FORCE:
            versions[event.label].add(event.number)
    return [f"{name}: nodes follow {sorted(found)}" for name, found in versions.items() if len(found) > 1]


CHECKERS: dict[str, Callable[[Sequence[Event]], Findings]] = {
    "lost_lines": no_line_lost,
    "doubled_lines": no_line_duplicated,
    "two_owners": single_owner,
    "token_twice": token_used_once,
    "answers_wrong": one_answer_in_time,
    "sessions_lost": no_session_lost,
    "rules_broken": no_host_invariant_violated,
    "documents_mixed": documents_consistent,
    "orphans": no_orphaned_connection,
}


def check(history: Sequence[Event]) -> dict[str, Findings]:
    """Run all checkers on a history that is sorted by timestamp; return the findings by checker key."""
    return {name: checker(history) for name, checker in CHECKERS.items()}


def violation_counts(findings: dict[str, Findings]) -> ViolationCounts:
    """Return how many violations each checker has found."""
    return msgspec.convert({name: len(cases) for name, cases in findings.items()}, ViolationCounts)


def first_cases(findings: dict[str, Findings]) -> Cases:
    """Return the first few violations of each checker that has found any."""
    return {name: cases[:MAX_REPORTED_CASES] for name, cases in findings.items() if cases}
