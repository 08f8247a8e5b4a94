"""The invariants of resumable sessions, each checked on the history of one run; pure functions.

Each checker carries the name of its invariant and returns the cases that violate it. Reports have them under
the keys of CHECKERS, which stay as they are:

lost_lines, doubled_lines   the lines of a session arrive each once and in order, in both directions.
two_owners                  a host accepts a session's lines from the newest epoch only, which one node has.
token_twice                 a token opens one connection in the whole cluster.
answers_wrong               a connection gets one final answer in time, unless a fault is on its way.
sessions_lost               a client that shows the token of a live session gets that session back.
rules_broken                hosts saw no second attempt, nothing new after a drain and no bad first line.
documents_mixed             no request is decided under a version after one was under a later version, and
                            in the end all nodes have the same version in force.
orphans                     once all is quiet, hosts have no more connections than clients are served.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

from tansyladder.lab.chaos.history import Event, EventKind, Party
from tansyladder.lab.clients import FINAL_ANSWERS
from tansyladder.lab.report import MICROSECOND

ANSWER_DEADLINE_US = timedelta(milliseconds=2600) // MICROSECOND  # the longest deadline, 500 ms and 100 ms
EXCUSING_FAULTS = (EventKind.KILLED, EventKind.PAUSED, EventKind.LINK_CUT, EventKind.CONNECTIONS_RESET)
CASES_IN_REPORT = 3  # of each checker

Findings = list[str]


class LineFindings(NamedTuple):
    """Lines that arrived too late in their session or never, and lines that arrived more than once."""

    lost: Findings
    duplicated: Findings


class Outage(NamedTuple):
    """A stretch of time in which a node could not be reached, in microseconds."""

    start_us: int
    end_us: int


class _ClientSession(NamedTuple):
    """One of the sessions that a client has begun."""

    client: int
    session_count: int


def _session_of(event: Event) -> _ClientSession:
    return _ClientSession(event.client, event.session_count)


def no_line_lost(history: Sequence[Event]) -> Findings:
    """Find gaps in the numbers of received lines, and lines that were never confirmed."""
    return _check_line_numbers(history).lost + _unconfirmed_lines(history)


def no_line_duplicated(history: Sequence[Event]) -> Findings:
    """Find lines that were received more than once."""
    return _check_line_numbers(history).duplicated


def _check_line_numbers(history: Sequence[Event]) -> LineFindings:
    """Compare each received line's number with the last one before it."""
    findings = LineFindings([], [])
    host_lines: Counter[_ClientSession] = Counter()  # the last one that the client received
    client_lines: Counter[str] = Counter()  # the last one that hosts received, by session id
    for event in history:
        if event.kind != EventKind.LINE_RECEIVED:
            continue
        number = event.number
        if event.party == Party.CLIENT:
            session = _session_of(event)
            last = host_lines[session]
            if number > last + 1:
                findings.lost.append(f"client {event.client}: host line {number} after {last}")
            elif number <= last:
                findings.duplicated.append(f"client {event.client}: host line {number} again")
            host_lines[session] = max(last, number)
        elif event.party == Party.HOST and event.session_id:
            last = client_lines[event.session_id]
            if number > last + 1:
                findings.lost.append(f"session {event.session_id}: line {number} after {last}")
            elif number <= last:
                findings.duplicated.append(f"session {event.session_id}: client line {number} again")
            client_lines[event.session_id] = max(last, number)
    return findings


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
        f"client {client}: {sent[session] - confirmed[session]} lines unheard at the end"
        for client, session in served.items()
        if sent[session] > confirmed[session]
    ]


def single_owner(history: Sequence[Event]) -> Findings:
    """Find lines accepted from an owner that was replaced, and epochs that two nodes used."""
    findings: Findings = []
    newest_epochs: dict[str, int] = {}  # by session id
    epoch_users: dict[tuple[str, int], int] = {}  # nodes, by session id and epoch
    for event in history:
        if event.party != Party.HOST or not event.session_id:
            continue
        session = f"session {event.session_id}"
        newest = newest_epochs.get(event.session_id, 0)
        if event.kind == EventKind.SESSION_ACQUIRED:
            user = epoch_users.setdefault((event.session_id, event.epoch), event.node)
            if user != event.node:
                findings.append(f"{session}: epoch {event.epoch} of nodes {user} and {event.node}")
            if event.epoch < newest:
                findings.append(f"{session}: epoch {event.epoch} taken after {newest}")
            newest_epochs[event.session_id] = max(newest, event.epoch)
        elif event.kind == EventKind.LINE_RECEIVED and event.epoch < newest:
            findings.append(f"{session}: node {event.node} heard, {event.epoch} after {newest}")
    return findings


def token_used_once(history: Sequence[Event]) -> Findings:
    """Find tokens that were answered UP on more than one connection."""
    shown = _connections_with_token(history)
    opened = Counter(
        shown[event.connection_id].token
        for event in history
        if event.kind == EventKind.ANSWERED and event.label == "UP" and event.connection_id in shown
    )
    return [f"token {token[:24]}: opened {count} times" for token, count in opened.items() if count > 1]


def one_answer_in_time(history: Sequence[Event]) -> Findings:
    """Find answers that are not final, late, given twice, or missing though no fault was on their way."""
    answer_counts = Counter(event.connection_id for event in history if event.kind == EventKind.ANSWERED)
    repeated = [f"connection {ident}: {count} answers" for ident, count in answer_counts.items() if count > 1]
    return _wrong_answers(history) + _missing_answers(history) + repeated


def _wrong_answers(history: Sequence[Event]) -> Findings:
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
    opened = {event.connection_id: event for event in history if event.kind == EventKind.OPEN_SENT}
    answered = {event.connection_id for event in history if event.kind == EventKind.ANSWERED and event.label}
    for connection_id, event in opened.items():
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
    """Find clients with a good token whose session was refused, or ended with MOVE."""
    shown = _connections_with_token(history)
    findings: Findings = []
    for event in history:
        if event.kind == EventKind.MIGRATION_REQUESTED and event.token:
            findings.append(f"client {event.client}: MOVE")
        elif event.kind == EventKind.ANSWERED and event.label == "ERR" and event.connection_id in shown:
            opened = shown[event.connection_id]
            if not opened.detail:  # a token that the controller shows once more on purpose has a detail
                findings.append(f"client {opened.client}: {event.detail[:60]}")
    return findings


def _connections_with_token(history: Sequence[Event]) -> dict[str, Event]:
    """Return what was sent on the connections that show a token, by connection id."""
    return {
        event.connection_id: event for event in history if event.kind == EventKind.OPEN_SENT and event.token
    }


def no_host_rule_broken(history: Sequence[Event]) -> Findings:
    """Find the violations that the hosts themselves have seen."""
    return [
        f"{event.label}: {event.detail[:80]}"
        for event in history
        if event.party == Party.HOST and event.kind == EventKind.INVARIANT_VIOLATED
    ]


def no_orphaned_connection(history: Sequence[Event]) -> Findings:
    """Find connections that hosts still have for no client at the end."""
    from_controller = [event for event in history if event.party == Party.CONTROLLER]
    served = sum(event.kind == EventKind.CLIENT_CONNECTED for event in from_controller)
    held = sum(event.number for event in from_controller if event.kind == EventKind.HOST_CONNECTION_COUNT)
    return [f"{held} connections at hosts, {served} clients stand"] if held > served else []


def documents_consistent(history: Sequence[Event]) -> Findings:
    """Find requests decided under an outdated version, and versions that differ at the end."""
    return _outdated_decisions(history) + _differing_versions(history)


def _outdated_decisions(history: Sequence[Event]) -> Findings:
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


def violation_counts(findings: dict[str, Findings]) -> dict[str, int]:
    """Return how many cases each checker has found."""
    return {name: len(cases) for name, cases in findings.items()}


def first_cases(findings: dict[str, Findings]) -> dict[str, Findings]:
    """Return the first few cases of the checkers that have found any."""
    return {name: cases[:CASES_IN_REPORT] for name, cases in findings.items() if cases}
