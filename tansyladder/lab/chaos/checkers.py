"""The promises to resumable sessions, each read from one history; pure functions, no clocks, no processes.

lost_lines, doubled_lines   a session's lines arrive each once and in order, both ways.
two_owners                  a host takes a session's line only from the newest epoch; an epoch is one node's.
token_twice                 a token opens once in the whole fleet.
answers_wrong               a connection gets one final answer in time, unless its way there failed.
sessions_lost               a client that shows a token of a session that lives gets that session back.
rules_broken                hosts saw no second attempt, nothing new after a drain, no bad first line.
documents_mixed             nothing is decided under a number after something was under a later one, and at
                            the end all nodes follow one.
orphans                     all being sound and settled, hosts hold no more connections than clients stand.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from datetime import timedelta

from tansyladder.lab.chaos.history import Event
from tansyladder.lab.report import MICROSECOND

ANSWER = timedelta(milliseconds=2600) // MICROSECOND  # the longest deadline, and half a second and 100 ms
FINAL = ("UP", "BUSY", "ERR")
HARMFUL = ("killed", "stopped", "cut", "reset")  # what excuses that an answer is missing

Found = list[str]


def lines(history: Sequence[Event]) -> tuple[Found, Found]:
    """Lines lost and doubled."""
    lost, doubled = Found(), Found()
    heard: Counter[tuple[int, int]] = Counter()  # by a client and its session: host lines
    told: Counter[str] = Counter()  # by session: client lines that hosts took
    taken: dict[str, int] = {}  # the newest epoch
    for event in history:
        if event.party == "client" and event.kind == "heard":
            at = (event.client, event.session_count)
            if event.number > heard[at] + 1:
                lost.append(f"client {event.client}: host line {event.number} after {heard[at]}")
            elif event.number <= heard[at]:
                doubled.append(f"client {event.client}: host line {event.number} again")
            heard[at] = max(heard[at], event.number)
        elif event.party == "host" and event.kind == "taken":
            taken[event.session_id] = max(event.epoch, taken.get(event.session_id, 0))
        elif event.party == "host" and event.kind == "heard" and event.session_id:
            if event.number > told[event.session_id] + 1:
                lost.append(f"session {event.session_id}: line {event.number} after {told[event.session_id]}")
            elif event.number <= told[event.session_id]:
                doubled.append(f"session {event.session_id}: client line {event.number} again")
            told[event.session_id] = max(told[event.session_id], event.number)
    return lost, doubled


def unheard(history: Sequence[Event]) -> Found:
    """Lines of clients that stood at the end and that no host was seen to hear."""
    said: Counter[tuple[int, int]] = Counter()
    heard: Counter[tuple[int, int]] = Counter()
    standing: dict[int, int] = {}
    for event in history:
        at = (event.client, event.session_count)
        if event.party == "client" and event.kind == "said":
            said[at] = event.number
        elif event.party == "client" and event.kind == "heard":
            heard[at] = max(heard[at], event.acknowledged_line)
        elif event.party == "rig" and event.kind == "standing":
            standing[event.client] = event.session_count
    return [
        f"client {client}: {said[client, life] - heard[client, life]} lines unheard at the end"
        for client, life in standing.items()
        if said[client, life] > heard[client, life]
    ]


def single_owner(history: Sequence[Event]) -> Found:
    """Lines taken from who has been replaced, and epochs that two nodes used."""
    found = Found()
    newest: dict[str, int] = {}
    users: dict[tuple[str, int], int] = {}
    for event in history:
        if event.party != "host" or not event.session_id:
            continue
        epoch = newest.get(event.session_id, 0)
        if event.kind == "taken":
            user = users.setdefault((event.session_id, event.epoch), event.node)
            if user != event.node:
                found.append(
                    f"session {event.session_id}: epoch {event.epoch} of nodes {user} and {event.node}"
                )
            if event.epoch < epoch:
                found.append(f"session {event.session_id}: epoch {event.epoch} taken after {epoch}")
            newest[event.session_id] = max(epoch, event.epoch)
        elif event.kind == "heard" and event.epoch < epoch:
            found.append(f"session {event.session_id}: node {event.node} heard, {event.epoch} after {epoch}")
    return found


def token_used_once(history: Sequence[Event]) -> Found:
    """Tokens that were answered UP on more than one connection."""
    shown = {event.connection_id: event.token for event in history if event.kind == "asked" and event.token}
    opened = Counter(
        shown[event.connection_id]
        for event in history
        if event.kind == "answered" and event.label == "UP" and event.connection_id in shown
    )
    return [f"token {token[:24]}: opened {count} times" for token, count in opened.items() if count > 1]


def one_answer_in_time(history: Sequence[Event]) -> Found:
    """Answers that are none, come late, or come not at all though nothing on their way failed."""
    asked: dict[str, Event] = {}
    went: dict[str, int] = {}
    answers: Counter[str] = Counter()
    found = Found()
    bad: dict[int, list[tuple[int, int]]] = defaultdict(list)  # stretches in which a node was not reachable
    since: dict[int, int] = {}
    for event in history:
        if event.party == "rig" and event.kind in HARMFUL:
            since.setdefault(event.node, event.timestamp_us)
        elif event.party == "rig" and event.kind == "sound" and event.node in since:
            bad[event.node].append((since.pop(event.node), event.timestamp_us))
        elif event.kind == "asked":
            asked[event.connection_id] = event
        elif event.kind == "sent_to":
            went[event.connection_id] = event.node
        elif event.kind == "answered":
            answers[event.connection_id] += 1
            if event.label and event.label not in FINAL:
                found.append(f"connection {event.connection_id}: {event.detail[:60]!r}")
            elif (
                event.label
                and (late := event.timestamp_us - asked[event.connection_id].timestamp_us) > ANSWER
            ):
                found.append(f"connection {event.connection_id}: after {late} us")
    end = history[-1].timestamp_us if history else 0
    for node, at in since.items():
        bad[node].append((at, end))
    answered = {e.connection_id for e in history if e.kind == "answered" and e.label}
    for ident, event in asked.items():
        excused = any(
            a <= event.timestamp_us + ANSWER and event.timestamp_us <= b for a, b in bad[went.get(ident, -1)]
        )
        if ident not in answered and not excused and event.timestamp_us + ANSWER < end:
            found.append(f"connection {ident}: no answer from node {went.get(ident, -1)}")
    return found + [f"connection {i}: {n} answers" for i, n in answers.items() if n > 1]


def no_session_lost(history: Sequence[Event]) -> Found:
    """Sessions whose client has a good token, and was told that it opens nothing or to begin anew."""
    shown = {event.connection_id: event for event in history if event.kind == "asked" and event.token}
    found = Found()
    for event in history:
        if event.kind == "moved" and event.token:
            found.append(f"client {event.client}: MOVE")
        elif event.kind == "answered" and event.label == "ERR" and event.connection_id in shown:
            tried = shown[event.connection_id]
            if not tried.detail:  # what the rig shows once more on purpose has a word of its own
                found.append(f"client {tried.client}: {event.detail[:60]}")
    return found


def no_host_rule_broken(history: Sequence[Event]) -> Found:
    """What the hosts themselves saw amiss."""
    return [f"{e.label}: {e.detail[:80]}" for e in history if e.party == "host" and e.kind == "broken"]


def no_orphaned_connection(history: Sequence[Event]) -> Found:
    """Connections that hosts hold for nobody at the end."""
    standing = sum(event.party == "rig" and event.kind == "standing" for event in history)
    held = sum(event.number for event in history if event.party == "rig" and event.kind == "held")
    return [f"{held} connections at hosts, {standing} clients stand"] if held > standing else []


def documents_consistent(history: Sequence[Event]) -> Found:
    """First lines that were decided under a number that no longer held, and nodes that differ at the end."""
    found, newest = Found(), dict[str, Event]()
    for event in sorted((e for e in history if e.kind == "decided"), key=lambda e: e.decided_at_us):
        last = newest.get(event.label)
        if last is not None and event.number < last.number:
            late = event.decided_at_us - last.decided_at_us
            found.append(
                f"{event.label}: node {event.node} decides under {event.number}, {late} us after "
                f"node {last.node} did under {last.number}"
            )
        elif last is None or event.number > last.number:
            newest[event.label] = event
    ends: dict[str, set[int]] = defaultdict(set)
    for event in history:
        if event.kind == "follows":
            ends[event.label].add(event.number)
    found += [f"{name}: nodes follow {sorted(told)}" for name, told in ends.items() if len(told) > 1]
    return found


CHECKERS: dict[str, Callable[[Sequence[Event]], Found]] = {
    "lost_lines": lambda history: lines(history)[0] + unheard(history),
    "doubled_lines": lambda history: lines(history)[1],
    "two_owners": single_owner,
    "token_twice": token_used_once,
    "answers_wrong": one_answer_in_time,
    "sessions_lost": no_session_lost,
    "rules_broken": no_host_rule_broken,
    "documents_mixed": documents_consistent,
    "orphans": no_orphaned_connection,
}


def check(history: Sequence[Event]) -> dict[str, Found]:
    """Every checker's findings."""
    return {name: checker(history) for name, checker in CHECKERS.items()}
