"""Reports of endpoints' delays and load, and the results of health checks."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from tansyladder.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ConnectionReport,
    HealthCheckResult,
    ReportKind,
)
from tests.node.harness import (
    SETTINGS,
    Peer,
    ScriptedServer,
    answer_up,
    running_node,
)


def test_delays_over_a_third_of_the_objective_are_reported(tmp_path: Path) -> None:
    def answer_late(peer: Peer) -> None:
        for delay_seconds in (0.11, 0.0):
            line = peer.read_line()
            time.sleep(delay_seconds)
            peer.send_lines(line)
        peer.read_line()

    extra = {"message_aim": [300_000], "tells_delay": True}
    with running_node(
        tmp_path, ScriptedServer(answer_up(answer_late)), settings=SETTINGS | {"extra": extra}
    ) as node:
        client = node.open()
        assert client.read_line() == "UP r1"
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        report = node.runner.wait_for(ConnectionReport)
        assert (report.kind, report.endpoint_id) == (ReportKind.MEASURED_DELAY, 1)
        assert 110 <= report.value < 300
        time.sleep(1.05)  # the delays measured within one second are combined in one report
        client.send_lines("M 2")
        assert node.runner.wait_for(ConnectionReport, 2).value < 100


@pytest.mark.parametrize("reports_delay", [True, False])
def test_a_load_line_is_a_delay_report_where_delays_are_reported(
    tmp_path: Path, *, reports_delay: bool
) -> None:
    """Invalid values are ignored, and the client gets every line."""
    bad = ["LOAD", "LOAD x", "LOAD 1 2", "LOAD -3", "LOAD nan", "LOAD 1e300", "LOADS 7"]
    lines = ["LOAD 40.5", *bad, "LOAD 3"]
    extra = {"message_aim": [50_000], "tells_delay": reports_delay}
    with running_node(
        tmp_path,
        ScriptedServer(answer_up(lambda peer: peer.send_lines(*lines))),
        settings=SETTINGS | {"extra": extra},
    ) as node:
        client = node.open()
        assert [client.read_line() for _ in range(10)] == ["UP r1", *lines]
        node.runner.wait_for(AttemptEnded)
        reports = [
            (report.kind, report.endpoint_id, report.value)
            for report in node.runner.events_of(ConnectionReport)
        ]
        expected = [(ReportKind.REPORTED_DELAY, 1, 40.5), (ReportKind.REPORTED_DELAY, 1, 3.0)]
        assert reports == (expected if reports_delay else [])
        # Reports of delays alone do not disable health checks.
        assert node.configuration.settings.health_check_interval_us > 0
        client.close()


def test_a_health_check_reports_its_status_and_latency(tmp_path: Path) -> None:
    def answer_pong(peer: Peer) -> None:
        assert peer.read_line() == "PING"
        time.sleep(0.02)
        peer.send_lines("PONG")

    def answer_err(peer: Peer) -> None:
        peer.read_line()
        peer.send_lines("ERR")

    ceilings = SETTINGS["ceilings"] | {"probes": True}
    settings = SETTINGS | {"ceilings": ceilings, "extra": {"message_aim": [50_000]}}  # no delays reported
    with running_node(tmp_path, ScriptedServer(answer_pong, answer_err), settings=settings) as node:
        node.components.new_health_checker().start()
        first = node.runner.wait_for(HealthCheckResult)
        second = node.runner.wait_for(HealthCheckResult, 2)
        assert first.status is AttemptStatus.OK
        assert 20_000 <= first.latency_us < 140_000
        assert second.status is AttemptStatus.ERROR
