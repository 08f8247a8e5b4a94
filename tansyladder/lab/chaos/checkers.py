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
        if event.who == "client" and event.what == "heard":
            at = (event.client, event.life)
            if event.number > heard[at] + 1:
                lost.append(f"client {event.client}: host line {event.number} after {heard[at]}")
            elif event.number <= heard[at]:
                doubled.append(f"client {event.client}: host line {event.number} again")
            heard[at] = max(heard[at], event.number)
        elif event.who == "host" and event.what == "taken":
            taken[event.session] = max(event.epoch, taken.get(event.session, 0))
        elif event.who == "host" and event.what == "heard" and event.session:
            if event.number > told[event.session] + 1:
                lost.append(f"session {event.session}: line {event.number} after {told[event.session]}")
            elif event.number <= told[event.session]:
                doubled.append(f"session {event.session}: client line {event.number} again")
            told[event.session] = max(told[event.session], event.number)
    return lost, doubled


def unheard(history: Sequence[Event]) -> Found:
    """Lines of clients that stood at the end and that no host was seen to hear."""
    said: Counter[tuple[int, int]] = Counter()
    heard: Counter[tuple[int, int]] = Counter()
    standing: dict[int, int] = {}
    for event in history:
        at = (event.client, event.life)
        if event.who == "client" and event.what == "said":
            said[at] = event.number
        elif event.who == "client" and event.what == "heard":
            heard[at] = max(heard[at], event.of_own)
        elif event.who == "rig" and event.what == "standing":
            standing[event.client] = event.life
    return [
        f"client {client}: {said[client, life] - heard[client, life]} lines unheard at the end"
        for client, life in standing.items()
        if said[client, life] > heard[client, life]
    ]


def two_owners(history: Sequence[Event]) -> Found:
    """Lines taken from who has been replaced, and epochs that two nodes used."""
    found = Found()
    newest: dict[str, int] = {}
    users: dict[tuple[str, int], int] = {}
    for event in history:
        if event.who != "host" or not event.session:
            continue
        epoch = newest.get(event.session, 0)
        if event.what == "taken":
            user = users.setdefault((event.session, event.epoch), event.node)
            if user != event.node:
                found.append(f"session {event.session}: epoch {event.epoch} of nodes {user} and {event.node}")
            if event.epoch < epoch:
                found.append(f"session {event.session}: epoch {event.epoch} taken after {epoch}")
            newest[event.session] = max(epoch, event.epoch)
        elif event.what == "heard" and event.epoch < epoch:
            found.append(f"session {event.session}: node {event.node} heard, {event.epoch} after {epoch}")
    return found


def token_twice(history: Sequence[Event]) -> Found:
    """Tokens that were answered UP on more than one connection."""
    shown = {event.ident: event.token for event in history if event.what == "asked" and event.token}
    opened = Counter(
        shown[event.ident]
        for event in history
        if event.what == "answered" and event.word == "UP" and event.ident in shown
    )
    return [f"token {token[:24]}: opened {count} times" for token, count in opened.items() if count > 1]


def answers_wrong(history: Sequence[Event]) -> Found:
    """Answers that are none, come late, or come not at all though nothing on their way failed."""
    asked: dict[str, Event] = {}
    went: dict[str, int] = {}
    answers: Counter[str] = Counter()
    found = Found()
    bad: dict[int, list[tuple[int, int]]] = defaultdict(list)  # stretches in which a node was not reachable
    since: dict[int, int] = {}
    for event in history:
        if event.who == "rig" and event.what in HARMFUL:
            since.setdefault(event.node, event.at)
        elif event.who == "rig" and event.what == "sound" and event.node in since:
            bad[event.node].append((since.pop(event.node), event.at))
        elif event.what == "asked":
            asked[event.ident] = event
        elif event.what == "sent_to":
            went[event.ident] = event.node
        elif event.what == "answered":
            answers[event.ident] += 1
            if event.word and event.word not in FINAL:
                found.append(f"connection {event.ident}: {event.text[:60]!r}")
            elif event.word and event.at - asked[event.ident].at > ANSWER:
                found.append(f"connection {event.ident}: after {event.at - asked[event.ident].at} us")
    end = history[-1].at if history else 0
    for node, at in since.items():
        bad[node].append((at, end))
    answered = {e.ident for e in history if e.what == "answered" and e.word}
    for ident, event in asked.items():
        excused = any(a <= event.at + ANSWER and event.at <= b for a, b in bad[went.get(ident, -1)])
        if ident not in answered and not excused and event.at + ANSWER < end:
            found.append(f"connection {ident}: no answer from node {went.get(ident, -1)}")
    return found + [f"connection {i}: {n} answers" for i, n in answers.items() if n > 1]


def sessions_lost(history: Sequence[Event]) -> Found:
    """Sessions whose client has a good token, and was told that it opens nothing or to begin anew."""
    shown = {event.ident: event for event in history if event.what == "asked" and event.token}
    found = Found()
    for event in history:
        if event.what == "moved" and event.token:
            found.append(f"client {event.client}: MOVE")
        elif event.what == "answered" and event.word == "ERR" and event.ident in shown:
            tried = shown[event.ident]
            if not tried.text:  # what the rig shows once more on purpose has a word of its own
                found.append(f"client {tried.client}: {event.text[:60]}")
    return found


def rules_broken(history: Sequence[Event]) -> Found:
    """What the hosts themselves saw amiss."""
    return [f"{e.word}: {e.text[:80]}" for e in history if e.who == "host" and e.what == "broken"]


def orphans(history: Sequence[Event]) -> Found:
    """Connections that hosts hold for nobody at the end."""
    standing = sum(event.who == "rig" and event.what == "standing" for event in history)
    held = sum(event.number for event in history if event.who == "rig" and event.what == "held")
    return [f"{held} connections at hosts, {standing} clients stand"] if held > standing else []


def documents_mixed(history: Sequence[Event]) -> Found:
    """First lines that were decided under a number that no longer held, and nodes that differ at the end."""
    found, newest = Found(), dict[str, Event]()
    for event in sorted((e for e in history if e.what == "decided"), key=lambda e: e.moment):
        last = newest.get(event.word)
        if last is not None and event.number < last.number:
            late = event.moment - last.moment
            found.append(
                f"{event.word}: node {event.node} decides under {event.number}, {late} us after "
                f"node {last.node} did under {last.number}"
            )
        elif last is None or event.number > last.number:
            newest[event.word] = event
    ends: dict[str, set[int]] = defaultdict(set)
    for event in history:
        if event.what == "follows":
            ends[event.word].add(event.number)
    found += [f"{name}: nodes follow {sorted(told)}" for name, told in ends.items() if len(told) > 1]
    return found


CHECKERS: dict[str, Callable[[Sequence[Event]], Found]] = {
    "lost_lines": lambda history: lines(history)[0] + unheard(history),
    "doubled_lines": lambda history: lines(history)[1],
    "two_owners": two_owners,
    "token_twice": token_twice,
    "answers_wrong": answers_wrong,
    "sessions_lost": sessions_lost,
    "rules_broken": rules_broken,
    "documents_mixed": documents_mixed,
    "orphans": orphans,
}


def check(history: Sequence[Event]) -> dict[str, Found]:
    """Every checker's findings."""
    return {name: checker(history) for name, checker in CHECKERS.items()}
