"""The simulator's wire format: worked examples, invalid input and isolation of instances."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from typing import NamedTuple, get_args

import pytest

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
    AttemptStatus,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
    EndpointUpdate,
    ListUpdateKind,
    RequestReceived,
    TimerExpired,
)
from tansyladder.policy.settings import DeduplicationScope, Idempotency
from tansyladder.simulator import host, wire

SETTINGS = "\n".join(
    [
        "balancers=3",
        "classes.count=1",
        "classes.0.effect=idempotency_key",
        "classes.0.group=zone",
        "classes.0.slo=300000",
        "classes.0.hard_limit=1800000",
        "classes.0.window=5000000",
        "ceilings.attempts_cap=4",
        "rules.cold=23000000",
        "rules.cold_from=0.14",
        "extra.mode=pass",
        "extra.message_aim=250000.0",
        "extra.tenant_quota_connections=10.0,20.0",
        "some.new.key=17",
        "report.columns=active,x0",
        "weights=nominal",
    ]
)


def from_hex(text: str) -> bytes:
    return bytes.fromhex("".join(text.split()))


def test_the_request_example_is_decoded() -> None:
    body = from_hex(
        """0003 0000002b 0003 0009f71f5d3a91c4 0000 0000 00000000008405da 01 00002ee0
        2b8e6401d9f37c10 91f03b7c55d20a64 0007 00000006 0003 0000004d 0006 0000000a 0005 000d7f9a0e6f2b19"""
    )
    assert wire.read_batch(3, body) == [
        (
            3,
            RequestReceived(
                request_id=0x9F71F5D3A91C4,
                class_index=0,
                tenant=0,
                deadline_us=0x8405DA,
                key=0x91F03B7C55D20A64,
                group_key=0x2B8E6401D9F37C10,
                load_hint=12000,
            ),
        ),
        (3, TimerExpired(timer_id=0x4D)),
        (5, ClientDisconnected(request_id=0xD7F9A0E6F2B19)),
    ]


def test_the_endpoint_list_example_is_decoded() -> None:
    body = from_hex(
        """0002 0000003b 0003 0000000000000029 04 00000002
        0000000000000000 0000 03124a07 3f800000 00 0000 03
        00000000005d1420 0000 2c9011f2 3fc00000 01 0000 03"""
    )
    [(instance, update)] = wire.read_batch(1, body)
    assert instance == 3
    assert update == EndpointListUpdate(
        kind=ListUpdateKind.CACHED,
        endpoints=(
            EndpointUpdate(
                endpoint_id=0x03124A07,
                zone=0,
                cell=0,
                kind=0,
                weight=1.0,
                state=EndpointState.READY,
                ready_at_us=0,
            ),
            EndpointUpdate(
                endpoint_id=0x2C9011F2,
                zone=1,
                cell=0,
                kind=0,
                weight=1.5,
                state=EndpointState.READY,
                ready_at_us=0x5D1420,
            ),
        ),
        version=0x29,
    )


def test_the_attempt_ended_example_is_decoded() -> None:
    body = from_hex("0005 00000018 0003 0009f71f5d3a91c4 0000 03124a07 0000 00004844 01 00")
    assert wire.read_batch(1, body) == [
        (
            3,
            AttemptEnded(
                request_id=0x9F71F5D3A91C4,
                attempt=0,
                endpoint_id=0x03124A07,
                status=AttemptStatus.OK,
                latency_us=0x4844,
                is_request_over=True,
                load_report=(),
            ),
        )
    ]


def test_the_action_examples_are_encoded() -> None:
    assert wire.write_action(
        3, StartAttempt(request_id=0x9F71F5D3A91C4, endpoint_id=0x03124A07, timeout_us=80000)
    ) == from_hex("0041 00000012 0003 0009f71f5d3a91c4 03124a07 00013880")
    assert wire.write_action(3, SetTimer(due_at_us=0x87FD7A, timer_id=0x4D)) == from_hex(
        "0045 0000000e 0003 000000000087fd7a 0000004d"
    )
    assert wire.write_action(3, SendPeerMessage(peer_index=None, data=b"hi 7")) == from_hex(
        "0048 0000000c 0003 ffffffff 0004 68692037"
    )
    assert wire.write_action(5, Log(text="two servers known")) == from_hex(
        "0049 00000015 0005 0011 74776f2073657276657273206b6e6f776e"
    )


@pytest.mark.parametrize(
    ("action", "code", "body"),
    [
        (Reject(request_id=9, retry_after_us=70), 66, struct.pack(">HQI", 1, 9, 70)),
        (Fail(request_id=9), 67, struct.pack(">HQ", 1, 9)),
        (CancelAttempt(request_id=9, attempt=2), 68, struct.pack(">HQH", 1, 9, 2)),
        (CheckHealth(endpoint_id=8), 70, struct.pack(">HI", 1, 8)),
        (PollDiscovery(is_enabled=True), 75, struct.pack(">HB", 1, 1)),
        (Migrate(request_id=9), 77, struct.pack(">HQ", 1, 9)),
    ],
)
def test_the_other_actions_are_encoded(action: Action, code: int, body: bytes) -> None:
    assert wire.write_action(1, action) == struct.pack(">HI", code, len(body)) + body


def test_each_action_has_an_encoder() -> None:
    assert set(wire.WRITERS) == set(get_args(Action))


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    settings = wire.read_settings(SETTINGS)
    assert settings.node_count == 3
    assert settings.max_attempts == 4
    assert settings.slow_start_duration_us == 23_000_000
    assert settings.pass_through is True
    assert settings.has_weights is True
    assert settings.tenant_quotas == (10.0, 20.0)
    assert settings.report_columns == ("active", "x0")
    [only_class] = settings.classes
    assert only_class.latency_objective_us == 300_000
    assert only_class.deadline_us == 1_800_000
    assert only_class.message_latency_objective_us == 250_000
    assert only_class.idempotency is Idempotency.WITH_KEY
    assert only_class.deduplication_scope is DeduplicationScope.ZONE


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("classes.0.slo=300000", "classes.0.slo=-1", "aim"),  # what the message calls this key
        ("balancers=3", "balancers=three", "balancers"),
        ("balancers=3", "balancers=inf", "balancers"),
        ("effect=idempotency_key", "effect=twice", "effect"),
        ("connections=10.0,20.0", "connections=10.0,x", "tenant_quota"),
    ],
)
def test_invalid_settings_name_the_key(old: str, new: str, named: str) -> None:
    with pytest.raises(ValueError, match=named):
        wire.read_settings(SETTINGS.replace(old, new))


def record(code: int, body: bytes) -> bytes:
    return struct.pack(">HI", code, len(body)) + body


def start(instance: int, seed: int) -> bytes:
    settings_bytes = SETTINGS.encode()
    return record(1, struct.pack(">HQI", instance, seed, len(settings_bytes)) + settings_bytes)


def batch(now: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack(">IIQ", len(body), len(records), now) + body


class HostRun(NamedTuple):
    """The outcome of a run of the host program."""

    exit_code: int
    replies: bytes
    message: str


def run_host(data: bytes) -> HostRun:
    """Run the host program on an input."""
    completed = subprocess.run(
        [sys.executable, "-m", "tansyladder.simulator.host"],
        input=data,
        capture_output=True,
        timeout=60,
        check=False,
    )
    return HostRun(
        exit_code=completed.returncode, replies=completed.stdout, message=completed.stderr.decode()
    )


def test_the_end_of_input_gives_exit_code_0() -> None:
    assert run_host(batch(5)) == (0, b"\0\0\0\0", "")


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0",
        batch(5, record(99, b"xx")),
        batch(5, record(6, b"xx")),
        batch(5, record(6, bytes(10)))[:-3],
        struct.pack(">IIQ", 6, 1, 5) + struct.pack(">HI", 6, 100),
        struct.pack(">IIQ", 3, 0, 5) + b"xxx",
        batch(5, record(6, struct.pack(">HQ", 4, 1))),
        batch(5, record(5, struct.pack(">HQHIHIBB", 1, 1, 0, 1, 77, 0, 1, 0))),
        batch(5, record(1, struct.pack(">HQI", 1, 1, 4) + b"x=1\n")),
    ],
)
def test_invalid_input_gives_exit_code_1_and_one_line(data: bytes) -> None:
    run = run_host(data)
    assert run.exit_code == 1
    assert run.message.startswith("tansyladder: ")
    assert run.message.count("\n") == 1


def batches(instances: list[int]) -> list[bytes]:
    """Return 40 batches: the first starts each instance with an endpoint list, the others have requests.

    Each has one request for each instance and, from the third batch on, the failure of the previous one.
    """
    endpoint = struct.Struct(">QHIfBHB")
    endpoints = b"".join(endpoint.pack(0, 0, 1 + number, 1.0, 0, 0, 3) for number in range(9))
    encoded_batches = []
    for batch_index in range(40):
        records = []
        for instance in instances:
            if batch_index == 0:
                records.append(start(instance, 100 + instance))
                records.append(record(2, struct.pack(">HQBI", instance, 1, 4, 9) + endpoints))
            else:
                request = struct.pack(
                    ">HQHHQBIQQ", instance, batch_index, 0, 0, 10**9, 0, 0, 0, batch_index % 5
                )
                records.append(record(3, request))
                if batch_index > 1:
                    ended = struct.pack(">HQHIHIBB", instance, batch_index - 1, 0, 1, 2, 5, 0, 0)
                    records.append(record(5, ended))
        encoded_batches.append(batch(10**6 + batch_index * 1000, *records))
    return encoded_batches


def serve(data: bytes) -> bytes:
    """Return the host's replies to an input."""
    sink = io.BytesIO()
    host.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def action_records(instances: list[int]) -> dict[int, list[bytes]]:
    """Return the action records of each instance when one host runs all of them."""
    replies = serve(b"".join(batches(instances)))
    records_by_instance: dict[int, list[bytes]] = {instance: [] for instance in instances}
    position = 0
    while position < len(replies):
        end = position + 4 + int.from_bytes(replies[position : position + 4], "big")
        position += 4
        while position < end:
            size = 6 + int.from_bytes(replies[position + 2 : position + 6], "big")
            instance = int.from_bytes(replies[position + 6 : position + 8], "big")
            records_by_instance[instance].append(replies[position : position + size])
            position += size
    return records_by_instance


def test_actions_of_an_instance_depend_only_on_its_own_events() -> None:
    together = action_records([1, 2, 3])
    assert all(len(records) > 30 for records in together.values())
    for instance in (1, 2, 3):
        assert action_records([instance])[instance] == together[instance]


def test_a_killed_instance_restarts_without_state() -> None:
    stop = batch(2 * 10**6, record(10, struct.pack(">H", 1)))
    data = b"".join(batches([1]))
    replies = serve(data + stop + data)
    half_length = (len(replies) - 4) // 2  # without the 4 bytes of the empty reply to the stop
    assert replies[:half_length] == replies[half_length + 4 :]
