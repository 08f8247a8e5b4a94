"""Codec of the simulator's wire format: decodes events and encodes actions. It makes no decisions.

A batch is a sequence of records. A record's header holds its code and the length of its body, which begins
with the number of its instance. All numbers are big-endian; times and durations are in microseconds.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum
from functools import partial
from typing import Any, NamedTuple, TypeVar, Union

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
    """Input that does not conform to the wire format."""


class Start(NamedTuple):
    """The start of an instance."""

    seed: int
    settings: str  # in the format that `read_settings` parses


class Stop(NamedTuple):
    """The end of an instance, which was killed."""


InstanceEvent = Union[Start, Stop, Event]


class InstanceRecord(NamedTuple):
    """An event and the number of the instance that it is for."""

    instance: int
    event: InstanceEvent


BATCH_HEADER = struct.Struct(">IIQ")  # length of the records in bytes, number of records, time
REPLY_HEADER = struct.Struct(">I")  # length of the records in bytes
RECORD_HEADER = struct.Struct(">HI")  # code, length of the body in bytes
RECORD_START = struct.Struct(">HIH")  # the header and the instance number that begins each body

# Bodies of events. `2x` skips the instance number, which `read_batch` has read already.
START = struct.Struct(">2xQI")
LIST_UPDATE = struct.Struct(">2xQBI")
ENDPOINT = struct.Struct(">QHIfBHB")
REQUEST = struct.Struct(">2xQHHQBIQQ")
ADOPTED = struct.Struct(">2xQQQQIHHIB")
ESTABLISHED = struct.Struct(">2xQHII")
REPORT = struct.Struct(">2xQBHfI")
ATTEMPT_ENDED = struct.Struct(">2xQHIHIBB")
DISCONNECTED = struct.Struct(">2xQ")
TIMER = struct.Struct(">2xI")
HEALTH_CHECK = struct.Struct(">2xHIIB")
PEER_MESSAGE = struct.Struct(">2xIH")
STOP_BODY_BYTES = 2
LOAD_VALUE_BYTES = 4  # of each value in a load report

# Bits in the flags of requests and of adopted connections.
HAS_LOAD_HINT = 1
IS_RETRY = 2
IS_MIDSTREAM = 8
IS_RECONNECT = 16

LOG_CODE = 73
PEER_MESSAGE_CODE = 72
ALL_PEERS = 0xFFFFFFFF
MAX_UINT32 = 0xFFFFFFFF
MAX_INT32 = 0x7FFFFFFF
MAX_LOG_BYTES = 1000


Member = TypeVar("Member", bound=IntEnum)


class _MembersByNumber(dict[int, Member]):
    """Maps wire numbers to members of an enum, as calling the enum for each record is slow."""

    def __init__(self, enum: type[Member]) -> None:
        super().__init__((member.value, member) for member in enum)
        self._enum = enum

    def __missing__(self, number: int) -> Member:
        """Raise the enum's ValueError for a number that belongs to no member."""
        return self._enum(number)


ENDPOINT_STATES = _MembersByNumber(EndpointState)
ATTEMPT_STATUSES = _MembersByNumber(AttemptStatus)


def _unpack_exactly(layout: struct.Struct, body: memoryview) -> tuple[Any, ...]:
    """Unpack a body that must have exactly the length of its layout."""
    if len(body) != layout.size:
        raise WireError(f"record body is {len(body)} bytes, expected {layout.size}")
    return layout.unpack(body)


def _read_start(body: memoryview) -> Start:
    """Decode the start of an instance."""
    seed, size = START.unpack_from(body)
    if len(body) != START.size + size:
        raise WireError(
            f"start record body is {len(body)} bytes, expected {START.size + size}, {size} of them settings"
        )
    return Start(seed, bytes(body[START.size :]).decode())


def _read_list_update(body: memoryview) -> EndpointListUpdate:
    """Decode the endpoint list of discovery, or changes to it."""
    version, kind, count = LIST_UPDATE.unpack_from(body)
    if len(body) != LIST_UPDATE.size + count * ENDPOINT.size:
        raise WireError(
            f"endpoint list record body is {len(body)} bytes, "
            f"expected {LIST_UPDATE.size + count * ENDPOINT.size} with {count} endpoints"
        )
    updates = tuple(
        EndpointUpdate(endpoint_id, zone, cell, endpoint_kind, weight, ENDPOINT_STATES[state], ready_at)
        for ready_at, cell, endpoint_id, weight, zone, endpoint_kind, state in ENDPOINT.iter_unpack(
            body[LIST_UPDATE.size :]
        )
    )
    return EndpointListUpdate(ListUpdateKind(kind), updates, version)


def _read_request(body: memoryview) -> RequestReceived:
    """Decode a client's request."""
    request_id, class_index, tenant, deadline, flags, load_hint, group_key, key = _unpack_exactly(
        REQUEST, body
    )
    return RequestReceived(
        request_id,
        class_index,
        tenant,
        deadline,
        key,
        group_key,
        load_hint if flags & HAS_LOAD_HINT else None,
        bool(flags & IS_RETRY),
        bool(flags & IS_MIDSTREAM),
        bool(flags & IS_RECONNECT),
    )


def _read_connection_adopted(body: memoryview) -> ConnectionAdopted:
    """Decode a connection that was established before the instance's start."""
    request_id, group_key, key, _deadline, endpoint_id, class_index, tenant, load_hint, flags = (
        _unpack_exactly(ADOPTED, body)
    )
    hint = load_hint if flags & HAS_LOAD_HINT else None
    return ConnectionAdopted(request_id, class_index, tenant, endpoint_id, key, hint, group_key)


def _read_attempt_established(body: memoryview) -> AttemptEstablished:
    """Decode the establishment of an attempt's connection."""
    return AttemptEstablished(*_unpack_exactly(ESTABLISHED, body))


def _read_connection_report(body: memoryview) -> ConnectionReport:
    """Decode a report of a connection's load or delay."""
    request_id, kind, attempt, value, endpoint_id = _unpack_exactly(REPORT, body)
    return ConnectionReport(request_id, kind, attempt, endpoint_id, value)


def _read_load_report(body: memoryview, start: int, count: int) -> tuple[float, ...]:
    """Decode the values of a load report, which are the last part of a body."""
    if len(body) != start + LOAD_VALUE_BYTES * count:
        raise WireError(
            f"record body is {len(body)} bytes, "
            f"expected {start + LOAD_VALUE_BYTES * count} with a load report of {count} values"
        )
    return struct.unpack_from(f">{count}f", body, start) if count else ()


def _read_attempt_ended(body: memoryview) -> AttemptEnded:
    """Decode the end of an attempt."""
    request_id, attempt, endpoint_id, status, latency, is_over, count = ATTEMPT_ENDED.unpack_from(body)
    load = _read_load_report(body, ATTEMPT_ENDED.size, count)
    return AttemptEnded(
        request_id, attempt, endpoint_id, ATTEMPT_STATUSES[status], latency, bool(is_over), load
    )


def _read_client_disconnected(body: memoryview) -> ClientDisconnected:
    """Decode the disconnection of a client."""
    return ClientDisconnected(*_unpack_exactly(DISCONNECTED, body))


def _read_timer_expired(body: memoryview) -> TimerExpired:
    """Decode the expiry of a timer."""
    return TimerExpired(*_unpack_exactly(TIMER, body))


def _read_health_check_result(body: memoryview) -> HealthCheckResult:
    """Decode the result of a health check."""
    status, latency, endpoint_id, count = HEALTH_CHECK.unpack_from(body)
    load = _read_load_report(body, HEALTH_CHECK.size, count)
    return HealthCheckResult(endpoint_id, ATTEMPT_STATUSES[status], latency, load)


def _read_peer_message(body: memoryview) -> PeerMessage:
    """Decode a message from another node."""
    sender, size = PEER_MESSAGE.unpack_from(body)
    if len(body) != PEER_MESSAGE.size + size:
        raise WireError(
            f"peer message record body is {len(body)} bytes, "
            f"expected {PEER_MESSAGE.size + size} with a payload of {size} bytes"
        )
    return PeerMessage(sender, bytes(body[PEER_MESSAGE.size :]))


def _read_stop(body: memoryview) -> Stop:
    """Decode the end of an instance."""
    if len(body) != STOP_BODY_BYTES:
        raise WireError(f"stop record body is {len(body)} bytes, expected {STOP_BODY_BYTES}")
    return Stop()


READERS: dict[int, Callable[[memoryview], InstanceEvent]] = {  # by record code
    1: _read_start,
    2: _read_list_update,
    3: _read_request,
    4: _read_attempt_established,
    5: _read_attempt_ended,
    6: _read_client_disconnected,
    7: _read_timer_expired,
    8: _read_health_check_result,
    9: _read_peer_message,
    10: _read_stop,
    11: _read_connection_adopted,
    12: _read_connection_report,
}


def read_batch(count: int, body: bytes) -> list[InstanceRecord]:
    """Decode the records of one batch.

    Raises:
        WireError: The batch does not consist of exactly `count` well-formed records.
    """
    records: list[InstanceRecord] = []
    view = memoryview(body)
    length = len(body)
    unpack_record_start = RECORD_START.unpack_from  # bound once: the loop runs for each event of a simulation
    header_size = RECORD_HEADER.size
    position = 0
    try:
        for _ in range(count):
            code, size, instance = unpack_record_start(body, position)
            start = position + header_size
            position = start + size
            if position > length:
                raise WireError(
                    f"record {len(records) + 1} of {count} ends at byte {position} of a {length}-byte batch"
                )
            reader = READERS.get(code)
            if reader is None:
                raise WireError(f"record {len(records) + 1} of {count} has the unknown code {code}")
            records.append(InstanceRecord(instance, reader(view[start:position])))
    except (struct.error, ValueError) as err:
        raise WireError(f"record {len(records) + 1} of {count} is malformed: {err}") from err
    if position != length:
        raise WireError(f"batch has {length - position} bytes left after its {count} records, expected none")
    return records


def _action_packer(code: int, fields: str) -> Callable[..., bytes]:
    """Return a function that encodes a record of fixed length from its instance and the action's fields."""
    layout = struct.Struct(RECORD_START.format + fields)
    return partial(layout.pack, code, layout.size - RECORD_HEADER.size)


_pack_start_attempt = _action_packer(65, "QIi")
_pack_reject = _action_packer(66, "QI")
_pack_fail = _action_packer(67, "Q")
_pack_cancel_attempt = _action_packer(68, "QH")
_pack_set_timer = _action_packer(69, "QI")
_pack_check_health = _action_packer(70, "I")
_pack_poll_discovery = _action_packer(75, "B")
_pack_migrate = _action_packer(77, "Q")


def _write_start_attempt(instance: int, action: StartAttempt) -> bytes:
    """Encode the start of an attempt."""
    timeout = max(-1, min(action.timeout_us, MAX_INT32))
    return _pack_start_attempt(instance, action.request_id, action.endpoint_id, timeout)


def _write_reject(instance: int, action: Reject) -> bytes:
    """Encode the rejection of a request."""
    return _pack_reject(instance, action.request_id, max(0, min(action.retry_after_us, MAX_UINT32)))


def _write_fail(instance: int, action: Fail) -> bytes:
    """Encode the failure of a request."""
    return _pack_fail(instance, action.request_id)


def _write_cancel_attempt(instance: int, action: CancelAttempt) -> bytes:
    """Encode the cancellation of an attempt."""
    return _pack_cancel_attempt(instance, action.request_id, action.attempt)


def _write_set_timer(instance: int, action: SetTimer) -> bytes:
    """Encode the setting of a timer."""
    return _pack_set_timer(instance, action.due_at_us, action.timer_id)


def _write_check_health(instance: int, action: CheckHealth) -> bytes:
    """Encode the start of a health check."""
    return _pack_check_health(instance, action.endpoint_id)


def _write_poll_discovery(instance: int, action: PollDiscovery) -> bytes:
    """Encode whether discovery is to be polled."""
    return _pack_poll_discovery(instance, action.is_enabled)


def _write_migrate(instance: int, action: Migrate) -> bytes:
    """Encode the migration of a connection."""
    return _pack_migrate(instance, action.request_id)


def _write_peer_message(instance: int, action: SendPeerMessage) -> bytes:
    """Encode a message to one peer or to all peers."""
    peer = ALL_PEERS if action.peer_index is None else action.peer_index
    body = struct.pack(">HIH", instance, peer, len(action.data)) + action.data
    return RECORD_HEADER.pack(PEER_MESSAGE_CODE, len(body)) + body


def _write_log(instance: int, action: Log) -> bytes:
    """Encode a log line, cut to `MAX_LOG_BYTES`."""
    text = action.text.encode()[:MAX_LOG_BYTES]
    body = struct.pack(">HH", instance, len(text)) + text
    return RECORD_HEADER.pack(LOG_CODE, len(body)) + body


WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    StartAttempt: _write_start_attempt,
    Reject: _write_reject,
    Fail: _write_fail,
    CancelAttempt: _write_cancel_attempt,
    SetTimer: _write_set_timer,
    CheckHealth: _write_check_health,
    SendPeerMessage: _write_peer_message,
    Log: _write_log,
    PollDiscovery: _write_poll_discovery,
    Migrate: _write_migrate,
}


def write_action(instance: int, action: Action) -> bytes:
    """Encode one action of an instance as a record."""
    return WRITERS[type(action)](instance, action)


def read_settings(text: str) -> Settings:
    """Build settings from lines of the form `path=value`, such as `classes.0.slo=300000`.

    Raises:
        ValueError: A value is missing or can't be used.
    """
    return build_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))
