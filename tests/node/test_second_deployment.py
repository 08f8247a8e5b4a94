"""Settings of two deployments: one polls lists; one has pushed lists, tenants, reports and loads."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tansyladder.config.errors import ConfigError
from tansyladder.config.platform import absent_features
from tansyladder.net.protocol import parse_load_report
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ConnectionReport,
    HealthCheckResult,
    ReportKind,
    RequestReceived,
)
from tests.node.harness import (
    SETTINGS,
    Peer,
    ScriptedServer,
    answer_up,
    endpoint_entry,
    load_test_config,
    running_node,
)

POLLED: dict[str, Any] = SETTINGS
PUSHED: dict[str, Any] = SETTINGS | {
    "discovery": "pushed",
    "weights": "live",
    "report": {"how": "probe", "columns": ["x0", "rps", "waiting"]},
    "tenants": [{"name": "north", "share": 0.8}, {"name": "south", "share": 0.2}],
    "over_share_worth": 0.2,
    "extra": {
        "message_aim": [50_000],
        "tells_delay": True,
        "tells_load": True,
        "tenant_quota_connections": [80, 20],
    },
    "ceilings": {**SETTINGS["ceilings"], "probes": True, "attempts_cap": 6},
}


@pytest.fixture(params=[POLLED, PUSHED], ids=["polled", "pushed"])
def deployment(request: pytest.FixtureRequest) -> dict[str, Any]:
    """The settings of one of the two deployments."""
    settings: dict[str, Any] = request.param
    return settings


def test_a_load_line_is_a_delay_or_a_load_according_to_the_settings(
    tmp_path: Path, deployment: dict[str, Any]
) -> None:
    """A load that is read as a delay in ms makes all connections migrate and ejects the endpoint."""
    lines = ("LOAD 40500", "LOAD -1", "LOAD x", "LOAD 1e300", "LOAD 30")
    host = ScriptedServer(answer_up(lambda peer: peer.send_lines(*lines)))
    with running_node(tmp_path, host, settings=deployment) as node:
        client = node.open("c=chat,t=north,d=1200")
        assert [client.read_line() for _ in range(6)][-1] == "LOAD 30"
        node.runner.wait_for(AttemptEnded)
        kind = ReportKind.LOAD if deployment is PUSHED else ReportKind.REPORTED_DELAY
        reports = [(report.kind, report.value) for report in node.runner.events_of(ConnectionReport)]
        assert reports == [(kind, 40500.0), (kind, 30.0)]
        client.close()


@pytest.mark.parametrize("tenant", ["t=south,", "t=west,", ""])
def test_a_tenant_is_passed_by_its_number_and_an_unknown_one_is_answered_with_an_error(
    tmp_path: Path, deployment: dict[str, Any], tenant: str
) -> None:
    with running_node(tmp_path, ScriptedServer(answer_up()), settings=deployment) as node:
        client = node.open(f"c=chat,{tenant}d=1200")
        if deployment is PUSHED and tenant != "t=south,":
            assert client.read_line() == "ERR"
            assert not node.runner.events_of(RequestReceived)
        else:
            assert client.read_line() == "UP r1"
            assert node.runner.wait_for(RequestReceived).tenant == (1 if deployment is PUSHED else 0)


@pytest.mark.parametrize(
    ("answer", "load"),
    [
        (["PONG x0=0.5,rps=12,waiting=3"], (0.5, 12.0, 3.0)),
        (["PONG waiting=3,more=1,x0=0.5,rps=12"], (0.5, 12.0, 3.0)),
        (["PONG", "LOAD x0=0.5,rps=12,waiting=3"], (0.5, 12.0, 3.0)),
        (["PONG x0=0.5,rps=12"], ()),
        (["PONG x0=nan,rps=12,waiting=3"], ()),
        (["PONG x0=fast,rps=12,waiting=3"], ()),
        (["PONG"], ()),
    ],
)
def test_a_load_report_is_parsed_by_column_names_and_an_invalid_one_is_ignored(
    tmp_path: Path, answer: list[str], load: tuple[float, ...]
) -> None:
    """A health check that waits for a line which is never sent times out, and ejects a healthy endpoint."""

    def report(peer: Peer) -> None:
        assert peer.read_line() == "STATS"
        peer.send_lines(*answer)
        peer.read_line()

    with running_node(tmp_path, ScriptedServer(report), settings=PUSHED) as node:
        node.components.new_health_checker().start()
        result = node.runner.wait_for(HealthCheckResult)
        assert (result.status, result.load_report) == (AttemptStatus.OK, load)


def test_absent_features_are_named(tmp_path: Path, deployment: dict[str, Any]) -> None:
    absent = absent_features(load_test_config(tmp_path, settings=deployment))
    all_features = ["loads", "probes", "pushed_lists", "reports", "tenants", "weights"]
    assert absent == ([] if deployment is PUSHED else all_features)


def test_the_values_of_a_load_report_are_in_the_order_of_the_configured_columns() -> None:
    assert parse_load_report(b"BYE inflight=7,queue=2,util=0.61\r\n", ("util", "queue")) == (0.61, 2.0)
    assert parse_load_report(b"BYE\r\n", ("util",)) == ()


@pytest.mark.parametrize(
    ("overrides", "path_in_error"),
    [
        ({"tenants": "north"}, "settings.tenants"),
        ({"tenants": [{"share": 1}]}, "settings.tenants.0.name"),
        ({"tenants": [{"name": "north"}, {"name": "north"}]}, "settings.tenants"),
        ({"classes": []}, "settings.classes"),
        ({"rules": {"cold": "long"}}, "settings.rules.cold"),
    ],
)
def test_an_invalid_setting_of_either_deployment_is_reported_by_its_path(
    tmp_path: Path, deployment: dict[str, Any], overrides: dict[str, Any], path_in_error: str
) -> None:
    with pytest.raises(ConfigError, match=f"^{path_in_error}"):
        load_test_config(tmp_path, endpoint_entry("s0", "127.0.0.1:9"), settings=deployment | overrides)


def test_no_name_from_the_settings_of_a_deployment_is_in_the_code() -> None:
    """The names of classes, tenants and zones come only from the settings."""
    root = Path(__file__).parent.parent.parent
    files = [*(root / "tansyladder").rglob("*.py"), root / "deploy" / "balancer.toml"]
    texts = [path.read_text() for path in files]
    sites = [path.read_text() for path in (root / "deploy" / "sites").glob("*.toml")]
    quoted = [text for site in sites for text in site.split('"')[1::2]]
    names = {text for text in quoted if "-" in text and text.isascii() and not set("/ .") & set(text)}
    assert {"audit-tail", "permit-review"} <= names
    assert not [(name, text[:60]) for name in names for text in texts if name in text]
