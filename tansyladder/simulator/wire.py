"""Codec for the simulator's wire: bytes to events, actions to bytes. No decision lives here."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import NamedTuple

from tansyladder.config.policy_settings import build_settings
from tansyladder.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Log,
    Migrate,
    PollDiscovery,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
)
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionReport,
    EndpointListUpdate,
    EndpointState,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    ListUpdateKind,
    PeerMessage,
    RequestReceived,
    TimerExpired,
)
from tansyladder.policy.settings import Settings


class WireError(Exception):
    """A batch that does not follow the wire."""


class Start(NamedTuple):
    """An instance starts."""

    seed: int
    settings: str


class Stop(NamedTuple):
    """An instance was killed."""


HEADER = struct.Struct(">IIQ")
RECORD = struct.Struct(">HI")
LINE = struct.Struct(">QHIfBHB")
COUNT = struct.Struct(">I")
START = struct.Struct(">HQI")
MEMBERS = struct.Struct(">HQBI")
REQUEST = struct.Struct(">HQHHQBIQQ")
OPENED = struct.Struct(">HQQQQIHHIB")
FIRST = struct.Struct(">HQHII")
NOTE = struct.Struct(">HQBHfI")
OUTCOME = struct.Struct(">HQHIHIBB")
GONE = struct.Struct(">HQ")
TIMER = struct.Struct(">HI")
PROBED = struct.Struct(">HHIIB")
PEER = struct.Struct(">HIH")
ALL_PEERS = 0xFFFFFFFF
MAX_U32 = 0xFFFFFFFF


def _exact(form: struct.Struct, body: memoryview) -> tuple[int, ...]:
    if len(body) != form.size:
        raise WireError(f"a record of {len(body)} bytes where {form.size} are due")
    return form.unpack(body)


def _start(body: memoryview) -> tuple[int, Start]:
    inst, seed, size = START.unpack_from(body)
    if len(body) != START.size + size:
        raise WireError("the settings' length does not fit the record")
    return inst, Start(seed, bytes(body[START.size :]).decode())


def _members(body: memoryview) -> tuple[int, EndpointListUpdate]:
    inst, version, kind, count = MEMBERS.unpack_from(body)
    if len(body) != MEMBERS.size + count * LINE.size:
        raise WireError("the list's length does not fit the record")
    lines = tuple(
        EndpointUpdate(server, zone, cell, sort, weight, EndpointState(state), ready_at)
        for ready_at, cell, server, weight, zone, sort, state in LINE.iter_unpack(body[MEMBERS.size :])
    )
    return inst, EndpointListUpdate(ListUpdateKind(kind), lines, version)


def _request(body: memoryview) -> tuple[int, RequestReceived]:
    inst, rid, cls, tenant, deadline, flags, hint, key2, key = _exact(REQUEST, body)
    return inst, RequestReceived(
        rid,
        cls,
        tenant,
        deadline,
        key,
        key2,
        hint if flags & 1 else None,
        bool(flags & 2),
        bool(flags & 8),
        bool(flags & 16),
    )


def _opened(body: memoryview) -> tuple[int, ConnectionAdopted]:
    inst, rid, key2, key, _deadline, server, cls, tenant, hint, flags = _exact(OPENED, body)
    return inst, ConnectionAdopted(rid, cls, tenant, server, key, hint if flags & 1 else None, key2)


def _first(body: memoryview) -> tuple[int, AttemptEstablished]:
    inst, rid, attempt, server, latency = _exact(FIRST, body)
    return inst, AttemptEstablished(rid, attempt, server, latency)


def _note(body: memoryview) -> tuple[int, ConnectionReport]:
    inst, rid, kind, attempt, value, server = _exact(NOTE, body)
    return inst, ConnectionReport(rid, kind, attempt, server, value)


def _report(body: memoryview, at: int, count: int) -> tuple[float, ...]:
    if len(body) != at + 4 * count:
        raise WireError("the report's length does not fit the record")
    return struct.unpack_from(f">{count}f", body, at)


def _outcome(body: memoryview) -> tuple[int, AttemptEnded]:
    inst, rid, attempt, server, status, latency, closed, n = OUTCOME.unpack_from(body)
    load = _report(body, OUTCOME.size, n)
    return inst, AttemptEnded(rid, attempt, server, AttemptStatus(status), latency, bool(closed), load)


def _gone(body: memoryview) -> tuple[int, ClientDisconnected]:
    inst, rid = _exact(GONE, body)
    return inst, ClientDisconnected(rid)


def _timer(body: memoryview) -> tuple[int, TimerExpired]:
    inst, token = _exact(TIMER, body)
    return inst, TimerExpired(token)


def _probed(body: memoryview) -> tuple[int, HealthCheckResult]:
    inst, status, latency, server, n = PROBED.unpack_from(body)
    return inst, HealthCheckResult(server, AttemptStatus(status), latency, _report(body, PROBED.size, n))


def _peer(body: memoryview) -> tuple[int, PeerMessage]:
    inst, sender, size = PEER.unpack_from(body)
    if len(body) != PEER.size + size:
        raise WireError("the payload's length does not fit the record")
    return inst, PeerMessage(sender, bytes(body[PEER.size :]))


def _stop(body: memoryview) -> tuple[int, Stop]:
    if len(body) != 2:
        raise WireError("a stop record of the wrong length")
    return int.from_bytes(body, "big"), Stop()


READERS: dict[int, Callable[[memoryview], tuple[int, Start | Stop | Event]]] = {
    1: _start,
    2: _members,
    3: _request,
    4: _first,
    5: _outcome,
    6: _gone,
    7: _timer,
    8: _probed,
    9: _peer,
    10: _stop,
    11: _opened,
    12: _note,
}


def read_batch(count: int, body: bytes) -> list[tuple[int, Start | Stop | Event]]:
    """The records of one batch, each with its instance."""
    out: list[tuple[int, Start | Stop | Event]] = []
    view, at = memoryview(body), 0
    try:
        for _ in range(count):
            code, size = RECORD.unpack_from(view, at)
            at += RECORD.size
            if at + size > len(view):
                raise WireError("a record runs past the batch")
            reader = READERS.get(code)
            if reader is None:
                raise WireError(f"unknown record code {code}")
            out.append(reader(view[at : at + size]))
            at += size
    except (struct.error, ValueError) as err:
        raise WireError(f"malformed record: {err}") from err
    if at != len(view):
        raise WireError(f"{len(view) - at} bytes are left over after the last record")
    return out


def _pack(code: int, form: str, *values: int) -> bytes:
    body = struct.pack(form, *values)
    return RECORD.pack(code, len(body)) + body


def write_action(inst: int, action: Action) -> bytes:
    """One action's record."""
    match action:
        case StartAttempt(rid, server, timeout):
            return _pack(65, ">HQIi", inst, rid, server, max(-1, min(timeout, 0x7FFFFFFF)))
        case Reject(rid, wait):
            return _pack(66, ">HQI", inst, rid, max(0, min(wait, MAX_U32)))
        case Fail(rid):
            return _pack(67, ">HQ", inst, rid)
        case CancelAttempt(rid, attempt):
            return _pack(68, ">HQH", inst, rid, attempt)
        case SetTimer(at, token):
            return _pack(69, ">HQI", inst, at, token)
        case CheckHealth(server):
            return _pack(70, ">HI", inst, server)
        case SendPeerMessage(peer, data):
            head = struct.pack(">HIH", inst, ALL_PEERS if peer is None else peer, len(data))
            return RECORD.pack(72, len(head) + len(data)) + head + data
        case Log(text):
            raw = text.encode()[:1000]
            return RECORD.pack(73, 4 + len(raw)) + struct.pack(">HH", inst, len(raw)) + raw
        case PollDiscovery(on):
            return _pack(75, ">HB", inst, on)
        case Migrate(rid):
            return _pack(77, ">HQ", inst, rid)
    raise WireError(f"no record for {action!r}")


def read_settings(text: str) -> Settings:
    """Settings from path=value lines."""
    return build_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))
