"""Builds the components of a `Balancer` and connects them. It makes no decisions.

A component is built after those that it depends on. There is one cycle: a retry starts an attempt, and an
attempt that finds no endpoint schedules a retry.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.attempt_sending import AttemptSender, AttemptTimeouts
from tansyladder.policy.attempts import AttemptStarter, EndpointAssigner
from tansyladder.policy.candidate_checks import CandidateChecker
from tansyladder.policy.clock import Clock
from tansyladder.policy.discovery_polling import DiscoveryPoller
from tansyladder.policy.drain_migration import DrainMigration
from tansyladder.policy.ejection import Ejector
from tansyladder.policy.endpoint_draw import EndpointDraw
from tansyladder.policy.endpoint_list import EndpointListUpdater
from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoint_reports import EndpointReportHandler
from tansyladder.policy.endpoint_sampling import EndpointSampler
from tansyladder.policy.endpoint_selection import EndpointSelector
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoint_weights import EndpointWeights
from tansyladder.policy.excess_migration import ExcessMigration
from tansyladder.policy.final_answers import FinalAnswers
from tansyladder.policy.health_checks import HealthCheckScheduler
from tansyladder.policy.key_backoffs import KeyBackoffs
from tansyladder.policy.migration_priority import MigrationPriority
from tansyladder.policy.outlier_detection import OutlierDetector
from tansyladder.policy.overload_migration import OverloadMigration
from tansyladder.policy.pool_load import PoolLoad
from tansyladder.policy.previous_endpoint import PreviousEndpointFinder
from tansyladder.policy.request_arrival import RequestArrivalHandler
from tansyladder.policy.request_eviction import RequestEvictor
from tansyladder.policy.request_lifecycle import RequestLifecycle
from tansyladder.policy.request_table import RequestTable
from tansyladder.policy.retries import RetryScheduler
from tansyladder.policy.settings import Settings
from tansyladder.policy.setup_failures import SetupFailureRate
from tansyladder.policy.slow_start import SlowStart
from tansyladder.policy.tenant_quotas import TenantQuotas
from tansyladder.policy.timers import TimerScheduler
from tansyladder.policy.weighted_draw import WeightedDraw


class PolicyComponents:
    """All components of one balancer.

    Each component gets its dependencies through its constructor. Only the retry scheduler refers to this
    object, because of the cycle described above.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.clock = Clock(now)
        self.active_settings = ActiveSettings(settings)
        self.rng = Random(seed)
        self.actions = ActionSink()
        self.timers = TimerScheduler(self.actions)
        self.endpoints = EndpointTable()
        self.requests = RequestTable()
        self.setup_failures = SetupFailureRate()
        self.quotas = TenantQuotas(self.active_settings)
        self.slow_start = SlowStart(self.clock, self.active_settings)
        self.load = EndpointLoad(self.clock, self.active_settings)
        self.pool_load = PoolLoad(self.clock, self.active_settings, self.slow_start, self.load)
        self.weighted_draw = WeightedDraw(self.active_settings, self.rng)
        self.sampler = EndpointSampler(self.clock, self.active_settings, self.rng, self.weighted_draw)
        self.health_checks = self._build_health_checks()
        self.outliers = self._build_outlier_detector()
        self.poller = DiscoveryPoller(self.clock, self.active_settings, self.rng, self.actions, self.timers)
        self.list_updater = self._build_list_updater()
        self.answers = FinalAnswers(self.clock, self.active_settings, self.actions, self.requests)
        self.retries = self._build_retry_scheduler()
        self.sender = self._build_attempt_sender()
        self.attempt_starter = self._build_attempt_starter()
        self.arrivals = self._build_arrival_handler()
        self.lifecycle = self._build_lifecycle()
        self.evictor = RequestEvictor(self.actions, self.requests, self.answers)
        self.reports = EndpointReportHandler(
            self.requests, self.endpoints, self.attempt_starter, self.outliers
        )

    def _build_selector(self) -> EndpointSelector:
        """Build the selector of endpoints and the draw that it uses."""
        weights = EndpointWeights(self.active_settings, self.slow_start, self.load)
        draw = EndpointDraw(self.clock, self.active_settings, self.sampler, weights, self.weighted_draw)
        return EndpointSelector(self.active_settings, self.endpoints, self.pool_load, self.sampler, draw)

    def _build_health_checks(self) -> HealthCheckScheduler:
        """Build the scheduler of health checks."""
        return HealthCheckScheduler(
            clock=self.clock,
            active_settings=self.active_settings,
            rng=self.rng,
            actions=self.actions,
            timers=self.timers,
            endpoints=self.endpoints,
        )

    def _build_outlier_detector(self) -> OutlierDetector:
        """Build the outlier detector, with the ejector and the migration that it triggers."""
        priorities = MigrationPriority(self.active_settings, self.quotas)
        overload_migration = OverloadMigration(
            clock=self.clock,
            active_settings=self.active_settings,
            rng=self.rng,
            timers=self.timers,
            load=self.load,
            excess_migration=ExcessMigration(
                self.rng, self.actions, self.load, self.setup_failures, priorities
            ),
        )
        return OutlierDetector(
            clock=self.clock,
            active_settings=self.active_settings,
            load=self.load,
            ejector=Ejector(self.clock, self.active_settings, self.rng),
            health_checks=self.health_checks,
            overload_migration=overload_migration,
        )

    def _build_list_updater(self) -> EndpointListUpdater:
        """Build the updater that applies discovery's lists."""
        return EndpointListUpdater(
            clock=self.clock,
            active_settings=self.active_settings,
            endpoints=self.endpoints,
            health_checks=self.health_checks,
            drain_migration=DrainMigration(
                self.clock, self.active_settings, self.rng, self.actions, self.timers
            ),
            poller=self.poller,
        )

    def _build_retry_scheduler(self) -> RetryScheduler:
        """Build the scheduler of retries, which starts an attempt when a retry is due."""
        backoffs = KeyBackoffs(
            clock=self.clock,
            active_settings=self.active_settings,
            rng=self.rng,
            timers=self.timers,
            requests=self.requests,
            setup_failures=self.setup_failures,
        )
        return RetryScheduler(
            clock=self.clock,
            active_settings=self.active_settings,
            timers=self.timers,
            backoffs=backoffs,
            answers=self.answers,
            start_attempt=self._start_attempt,
        )

    def _start_attempt(self, request_id: int) -> None:
        """Start an attempt when a retry is due.

        The retry scheduler calls this method because `attempt_starter` depends on it and is built later.
        """
        self.attempt_starter.start(request_id)

    def _build_attempt_sender(self) -> AttemptSender:
        """Build the sender of attempts to selected endpoints."""
        return AttemptSender(
            active_settings=self.active_settings,
            actions=self.actions,
            endpoints=self.endpoints,
            slow_start=self.slow_start,
            pool_load=self.pool_load,
            timeouts=AttemptTimeouts(self.clock, self.active_settings, self.setup_failures),
        )

    def _build_attempt_starter(self) -> AttemptStarter:
        """Build the starter of attempts, which checks candidates and then assigns an endpoint."""
        candidates = CandidateChecker(
            clock=self.clock,
            active_settings=self.active_settings,
            endpoints=self.endpoints,
            sampler=self.sampler,
            slow_start=self.slow_start,
            health_checks=self.health_checks,
        )
        assigner = EndpointAssigner(
            clock=self.clock,
            requests=self.requests,
            selector=self._build_selector(),
            sender=self.sender,
            retries=self.retries,
            answers=self.answers,
        )
        return AttemptStarter(self.timers, self.requests, candidates, assigner)

    def _build_arrival_handler(self) -> RequestArrivalHandler:
        """Build the handler of arriving requests."""
        previous_endpoints = PreviousEndpointFinder(
            self.clock, self.active_settings, self.endpoints, self.slow_start
        )
        return RequestArrivalHandler(
            clock=self.clock,
            requests=self.requests,
            previous_endpoints=previous_endpoints,
            sender=self.sender,
            attempt_starter=self.attempt_starter,
            retries=self.retries,
        )

    def _build_lifecycle(self) -> RequestLifecycle:
        """Build the handler of attempts and connections."""
        return RequestLifecycle(
            requests=self.requests,
            endpoints=self.endpoints,
            retries=self.retries,
            outliers=self.outliers,
            setup_failures=self.setup_failures,
            quotas=self.quotas,
        )
