"""Codec of the simulator's wire: bytes to events, actions to bytes. No decision is made here.

A batch is a row of records. Each has a code and the length of its body; a body begins with the number of the
instance that it is for. All numbers are big-endian; moments and spans are in microseconds.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, Union

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
    settings: str  # as `read_settings` takes them


class Stop(NamedTuple):
    """An instance was killed."""


InstanceEvent = Union[Start, Stop, Event]


class InstanceRecord(NamedTuple):
    """An event and the instance that it is for."""

    instance: int
    event: InstanceEvent


BATCH_HEADER = struct.Struct(">IIQ")  # length of the records, their number, the moment
REPLY_HEADER = struct.Struct(">I")  # length of the records
RECORD_HEADER = struct.Struct(">HI")  # code, length of the body
RECORD_START = struct.Struct(">HIH")  # the header, and the instance that each body begins with

# Bodies of events; the instance that they begin with is skipped, as `read_batch` has it already.
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
STOP_LENGTH = 2
UTILIZATION_BYTES = 4  # of each figure of a load report

# Bits of the flags of requests and adopted connections.
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


class _EndpointStates(dict[int, EndpointState]):
    """The states of endpoints by their number on the wire.

    A list names one for each endpoint, for which `EndpointState(number)` is slow.
    """

    def __missing__(self, number: int) -> EndpointState:
        """Raise the enum's ValueError for a number that is no state."""
        return EndpointState(number)


ENDPOINT_STATES = _EndpointStates({state.value: state for state in EndpointState})


def _unpack_exactly(form: struct.Struct, body: memoryview) -> tuple[Any, ...]:
    """Unpack a body of exactly the length of its form."""
    if len(body) != form.size:
        raise WireError(f"a record of {len(body)} bytes where {form.size} are due")
    return form.unpack(body)


def _read_start(body: memoryview) -> Start:
    """Decode the start of an instance."""
    seed, size = START.unpack_from(body)
    if len(body) != START.size + size:
        raise WireError("the settings' length does not fit the record")
    return Start(seed, bytes(body[START.size :]).decode())


def _read_list_update(body: memoryview) -> EndpointListUpdate:
    """Decode discovery's list, or changes to it."""
    version, kind, count = LIST_UPDATE.unpack_from(body)
    if len(body) != LIST_UPDATE.size + count * ENDPOINT.size:
        raise WireError("the list's length does not fit the record")
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
    """Decode a connection that was established before the start."""
    request_id, group_key, key, _deadline, endpoint_id, class_index, tenant, load_hint, flags = (
        _unpack_exactly(ADOPTED, body)
    )
    hint = load_hint if flags & HAS_LOAD_HINT else None
    return ConnectionAdopted(request_id, class_index, tenant, endpoint_id, key, hint, group_key)


def _read_attempt_established(body: memoryview) -> AttemptEstablished:
    """Decode that the connection of an attempt is established."""
    return AttemptEstablished(*_unpack_exactly(ESTABLISHED, body))


def _read_connection_report(body: memoryview) -> ConnectionReport:
    """Decode the report of a connection's load or delay."""
    request_id, kind, attempt, value, endpoint_id = _unpack_exactly(REPORT, body)
    return ConnectionReport(request_id, kind, attempt, endpoint_id, value)


def _read_load_report(body: memoryview, start: int, count: int) -> tuple[float, ...]:
    """Decode the figures of a load report, which end a body."""
    if len(body) != start + UTILIZATION_BYTES * count:
        raise WireError("the report's length does not fit the record")
    return struct.unpack_from(f">{count}f", body, start) if count else ()


def _read_attempt_ended(body: memoryview) -> AttemptEnded:
    """Decode how an attempt ended."""
    request_id, attempt, endpoint_id, status, latency, is_closed, count = ATTEMPT_ENDED.unpack_from(body)
    load = _read_load_report(body, ATTEMPT_ENDED.size, count)
    return AttemptEnded(
        request_id, attempt, endpoint_id, AttemptStatus(status), latency, bool(is_closed), load
    )


def _read_client_disconnected(body: memoryview) -> ClientDisconnected:
    """Decode that a client left."""
    return ClientDisconnected(*_unpack_exactly(DISCONNECTED, body))


def _read_timer_expired(body: memoryview) -> TimerExpired:
    """Decode that a timer has expired."""
    return TimerExpired(*_unpack_exactly(TIMER, body))


def _read_health_check_result(body: memoryview) -> HealthCheckResult:
    """Decode how a health check ended."""
    status, latency, endpoint_id, count = HEALTH_CHECK.unpack_from(body)
    load = _read_load_report(body, HEALTH_CHECK.size, count)
    return HealthCheckResult(endpoint_id, AttemptStatus(status), latency, load)


def _read_peer_message(body: memoryview) -> PeerMessage:
    """Decode another node's message."""
    sender, size = PEER_MESSAGE.unpack_from(body)
    if len(body) != PEER_MESSAGE.size + size:
        raise WireError("the payload's length does not fit the record")
    return PeerMessage(sender, bytes(body[PEER_MESSAGE.size :]))


def _read_stop(body: memoryview) -> Stop:
    """Decode that an instance was killed."""
    if len(body) != STOP_LENGTH:
        raise WireError("a stop record of the wrong length")
    return Stop()


READERS: dict[int, Callable[[memoryview], InstanceEvent]] = {  # by the code of the record
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
        WireError: The batch does not hold just so many well-formed records.
    """
    records: list[InstanceRecord] = []
    view = memoryview(body)
    length = len(body)
    unpack_record_start = RECORD_START.unpack_from  # this loop runs once for each event of a simulation
    header_size = RECORD_HEADER.size
    position = 0
    try:
        for _ in range(count):
            code, size, instance = unpack_record_start(body, position)
            start = position + header_size
            position = start + size
            if position > length:
                raise WireError("a record runs past the batch")
            reader = READERS.get(code)
            if reader is None:
                raise WireError(f"unknown record code {code}")
            records.append(InstanceRecord(instance, reader(view[start:position])))
    except (struct.error, ValueError) as err:
        raise WireError(f"malformed record: {err}") from err
    if position != length:
        raise WireError(f"{length - position} bytes are left over after the last record")
    return records


def _action_packer(code: int, fields: str) -> Callable[..., bytes]:
    """Make a function that encodes an action of fixed length from its instance and its fields."""
    form = struct.Struct(RECORD_START.format + fields)
    return partial(form.pack, code, form.size - RECORD_HEADER.size)


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
    """Encode a rejection."""
    return _pack_reject(instance, action.request_id, max(0, min(action.retry_after_us, MAX_UINT32)))


def _write_fail(instance: int, action: Fail) -> bytes:
    """Encode a failure."""
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
    """Encode the start or the end of polls of discovery."""
    return _pack_poll_discovery(instance, action.is_enabled)


def _write_migrate(instance: int, action: Migrate) -> bytes:
    """Encode the migration of a connection."""
    return _pack_migrate(instance, action.request_id)


def _write_peer_message(instance: int, action: SendPeerMessage) -> bytes:
    """Encode a message to one peer or to all."""
    peer = ALL_PEERS if action.peer_index is None else action.peer_index
    body = struct.pack(">HIH", instance, peer, len(action.data)) + action.data
    return RECORD_HEADER.pack(PEER_MESSAGE_CODE, len(body)) + body


def _write_log(instance: int, action: Log) -> bytes:
    """Encode a line for the log, cut to its greatest length."""
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
    """Build settings from lines of a path and a value, as in `classes.0.slo=300000`.

    Raises:
        SettingsError: A value is missing or can't be used.
    """
    return build_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))
