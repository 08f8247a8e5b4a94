"""The invariants of resumable sessions, each checked on the history of one run; pure functions.

Each checker has the name of its invariant and returns the cases that violate it. Reports have them under the
keys of CHECKERS, which stay as they are:

lost_lines, doubled_lines   the lines of a session arrive each once and in order, in both directions.
two_owners                  a host accepts a session's lines from the newest epoch only, which one node has.
token_twice                 a token opens one connection in the whole cluster.
answers_wrong               a connection gets one final answer in time, unless a fault excuses it.
sessions_lost               a client that shows the token of a live session resumes that session.
rules_broken                hosts had one attempt of a request at a time, none after a drain, and no invalid
                            first line.
documents_mixed             no request is decided under a version after one was under a later version, and
                            in the end all nodes have the same version in force.
orphans                     once clients are quiet, hosts have no more connections than clients are served.
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

ANSWER_DEADLINE_US = timedelta(milliseconds=2600) // MICROSECOND  # the longest deadline, 500 ms and 100 ms
EXCUSING_FAULTS = (EventKind.KILLED, EventKind.PAUSED, EventKind.LINK_CUT, EventKind.CONNECTIONS_RESET)
CASES_IN_REPORT = 3  # of each checker

Findings = list[str]


class LineFindings(NamedTuple):
    """Gaps between the lines of a session, and lines that arrived more than once."""

    lost: Findings
    duplicated: Findings


class Outage(NamedTuple):
    """A time in which a node could not be reached, in microseconds."""

    start_us: int
    end_us: int


class _ClientSession(NamedTuple):
    """One of the sessions that a client has begun."""

    client: int
    session_count: int


class _SessionEpoch(NamedTuple):
    """A session under one of its epochs."""

    session_id: str
    epoch: int


class _LineSequence(NamedTuple):
    """Lines that are numbered from 1: a host's in a client's session, or a client's in a session at hosts."""

    receiver: str
    sender: str
    session_count: int = 0  # of a client: each of its sessions is numbered from 1


def _session_of(event: Event) -> _ClientSession:
    return _ClientSession(event.client, event.session_count)


def no_line_lost(history: Sequence[Event]) -> Findings:
    """Find gaps in the numbers of received lines, and lines that no host confirmed."""
    return _check_line_numbers(history).lost + _unconfirmed_lines(history)


def no_line_duplicated(history: Sequence[Event]) -> Findings:
    """Find lines that were received more than once."""
    return _check_line_numbers(history).duplicated


def _check_line_numbers(history: Sequence[Event]) -> LineFindings:
    """Compare each received line's number with the last one before it."""
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
            findings.lost.append(f"{line} after {last}")
        elif number <= last:
            findings.duplicated.append(f"{line} again")
        last_numbers[sequence] = max(last, number)
    return findings


def _sequence_of(event: Event) -> _LineSequence | None:
    """Return the sequence of a received line; None for other events and for sessions without an id."""
    if event.kind != EventKind.LINE_RECEIVED:
        return None
    if event.party == Party.CLIENT:
        return _LineSequence(f"client {event.client}", "host", event.session_count)
    if event.party == Party.HOST and event.session_id:
        return _LineSequence(f"session {event.session_id}", "client")
    return None


def _unconfirmed_lines(history: Sequence[Event]) -> Findings:
    """Find clients that were served at the end with lines that no host had confirmed."""
    sent: Counter[_ClientSession] = Counter()
    confirmed: Counter[_ClientSession] = Counter()
    served: dict[int, _ClientSession] = {}
    for event in history:
        session = _session_of(event)
        if event.party == Party.CLIENT and event.kind == EventKind.LINE_SENT:
            sent[session] = event.number
        elif event.party == Party.CLIENT and event.kind == EventKind.LINE_RECEIVED:
            confirmed[session] = max(confirmed[session], event.acknowledged_line)
        elif event.party == Party.CONTROLLER and event.kind == EventKind.CLIENT_CONNECTED:
            served[event.client] = session
    return [
        f"client {client}: {sent[session] - confirmed[session]} lines unconfirmed at the end"
        for client, session in served.items()
        if sent[session] > confirmed[session]
    ]


def single_owner(history: Sequence[Event]) -> Findings:
    """Find lines accepted from a superseded owner, and epochs that two nodes used."""
    findings: Findings = []
    newest_epochs: Counter[str] = Counter()  # by session id
    epoch_users: dict[_SessionEpoch, int] = {}  # nodes
    for event in history:
        if event.party != Party.HOST or not event.session_id:
            continue
        newest = newest_epochs[event.session_id]
        if event.kind == EventKind.SESSION_ACQUIRED:
            user = epoch_users.setdefault(_SessionEpoch(event.session_id, event.epoch), event.node)
            findings += _check_acquisition(event, user, newest)
            newest_epochs[event.session_id] = max(newest, event.epoch)
        elif event.kind == EventKind.LINE_RECEIVED and event.epoch < newest:
            findings.append(
                f"session {event.session_id}: line of node {event.node}, epoch {event.epoch} after {newest}"
            )
    return findings


def _check_acquisition(event: Event, epoch_user: int, newest_epoch: int) -> Findings:
    """Find what is wrong with the epoch under which a session was acquired."""
    findings: Findings = []
    session = f"session {event.session_id}"
    if epoch_user != event.node:
        findings.append(f"{session}: epoch {event.epoch} of nodes {epoch_user} and {event.node}")
    if event.epoch < newest_epoch:
        findings.append(f"{session}: epoch {event.epoch} acquired after {newest_epoch}")
    return findings


def token_used_once(history: Sequence[Event]) -> Findings:
    """Find tokens that were answered UP on more than one connection."""
    first_lines = _first_lines_with_token(history)
    use_counts = Counter(
        first_lines[event.connection_id].token
        for event in history
        if event.kind == EventKind.ANSWERED and event.label == "UP" and event.connection_id in first_lines
    )
    return [f"token {token[:24]}: opened {count} times" for token, count in use_counts.items() if count > 1]


def one_answer_in_time(history: Sequence[Event]) -> Findings:
    """Find answers that are not final, late, repeated, or missing without a fault that excuses it."""
    answer_counts = Counter(event.connection_id for event in history if event.kind == EventKind.ANSWERED)
    repeated = [f"connection {ident}: {count} answers" for ident, count in answer_counts.items() if count > 1]
    return _wrong_answers(history) + _missing_answers(history) + repeated


def _wrong_answers(history: Sequence[Event]) -> Findings:
    """Find answers that are not final or late."""
    findings: Findings = []
    sent_at_us: dict[str, int] = {}  # by connection id
    for event in history:
        if event.kind == EventKind.OPEN_SENT:
            sent_at_us[event.connection_id] = event.timestamp_us
        elif event.kind == EventKind.ANSWERED and event.label:
            delay_us = event.timestamp_us - sent_at_us[event.connection_id]
            if event.label not in FINAL_ANSWERS:
                findings.append(f"connection {event.connection_id}: {event.detail[:60]!r}")
            elif delay_us > ANSWER_DEADLINE_US:
                findings.append(f"connection {event.connection_id}: after {delay_us} us")
    return findings


def _missing_answers(history: Sequence[Event]) -> Findings:
    """Find connections without an answer that no outage of their node excuses."""
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
    """Return the outages of each node; one that does not end lasts as long as the history."""
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
    """Find clients with a valid token whose session was rejected, or ended with MOVE."""
    first_lines = _first_lines_with_token(history)
    findings: Findings = []
    for event in history:
        if event.kind == EventKind.MIGRATION_REQUESTED and event.token:
            findings.append(f"client {event.client}: MOVE")
        elif event.kind == EventKind.ANSWERED and event.label == "ERR" and event.connection_id in first_lines:
            first_line = first_lines[event.connection_id]
            if not first_line.detail:  # the controller's own replays of a token have a detail
                findings.append(f"client {first_line.client}: {event.detail[:60]}")
    return findings


def _first_lines_with_token(history: Sequence[Event]) -> dict[str, Event]:
    """Return the first lines that show a token, by connection id."""
    return {
        event.connection_id: event for event in history if event.kind == EventKind.OPEN_SENT and event.token
    }


def no_host_rule_broken(history: Sequence[Event]) -> Findings:
    """Find the violations that the hosts themselves have recorded."""
    return [
        f"{event.label}: {event.detail[:80]}"
        for event in history
        if event.party == Party.HOST and event.kind == EventKind.INVARIANT_VIOLATED
    ]


def no_orphaned_connection(history: Sequence[Event]) -> Findings:
    """Find connections at hosts that are for no client at the end."""
    from_controller = [event for event in history if event.party == Party.CONTROLLER]
    served = sum(event.kind == EventKind.CLIENT_CONNECTED for event in from_controller)
    at_hosts = sum(event.number for event in from_controller if event.kind == EventKind.HOST_CONNECTION_COUNT)
    return [f"{at_hosts} connections at hosts, {served} clients served"] if at_hosts > served else []


def documents_consistent(history: Sequence[Event]) -> Findings:
    """Find requests decided under an outdated version, and versions that differ at the end."""
    return _outdated_decisions(history) + _differing_versions(history)


def _outdated_decisions(history: Sequence[Event]) -> Findings:
    """Find requests decided under a version after another request was under a later one."""
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
    """Find documents that do not have the same version in force at all nodes at the end."""
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
    "rules_broken": no_host_rule_broken,
    "documents_mixed": documents_consistent,
    "orphans": no_orphaned_connection,
}


def check(history: Sequence[Event]) -> dict[str, Findings]:
    """Run every checker on a history that is in the order of its timestamps; return their findings by key."""
    return {name: checker(history) for name, checker in CHECKERS.items()}


def violation_counts(findings: dict[str, Findings]) -> ViolationCounts:
    """Return how many cases each checker has found."""
    return msgspec.convert({name: len(cases) for name, cases in findings.items()}, ViolationCounts)


def first_cases(findings: dict[str, Findings]) -> Cases:
    """Return the first few cases of the checkers that have found any."""
    return {name: cases[:CASES_IN_REPORT] for name, cases in findings.items() if cases}
