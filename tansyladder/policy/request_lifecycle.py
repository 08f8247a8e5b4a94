"""The life of a request: its attempts, the connection that it becomes, and its end."""

from tansyladder.policy import endpoint_load, events, outlier_detection
from tansyladder.policy.actions import StartAttempt
from tansyladder.policy.context import SHARED_FAILURE_RATE, Context
from tansyladder.policy.endpoint_selection import previous_endpoint, sample, select_endpoint
from tansyladder.policy.records import Endpoint, EndpointTable, Request, RequestTable
from tansyladder.policy.retries import RetryScheduler
from tansyladder.policy.slow_start import available_permit, capacity_share

CANDIDATE_COUNT = 3  # endpoints whose load is looked at first: one of them has room when most have
MAX_REPORTED_VALUE = 1e12  # a larger load or delay makes no sense
SETUP_FAILURE_MEMORY = 8  # set-ups over which a node judges whether they fail everywhere


class RequestLifecycle:
    """Takes requests from their arrival to the final answer or to the end of their connection."""

    __slots__ = ("context", "endpoints", "requests", "retries")

    def __init__(self, context: Context, endpoints: EndpointTable, requests: RequestTable) -> None:
        self.context = context
        self.endpoints = endpoints
        self.requests = requests
        self.retries = RetryScheduler(context, requests, self._start_attempt)

    def handle_request(self, event: events.RequestReceived) -> None:
        """Start an attempt, or wait for the key's retry where the client comes again before that is due."""
        context = self.context
        request = self.requests.add(event)
        is_moved = event.is_midstream and context.settings.pass_through and event.deadline_us > context.now
        previous = previous_endpoint(context, self.endpoints, request) if is_moved else None
        if previous:
            self._send_attempt(request, previous)
        elif request.backoff and request.backoff.retry_at > context.now:
            self.retries.retry_or_reject(request, request.backoff)
        else:
            self._start_attempt(request.id)

    def _start_attempt(self, request_id: int) -> None:
        """Check the load of a few endpoints where it is not known, then assign one."""
        request = self.requests.by_id.get(request_id)
        if request is None:
            return  # its client left
        context = self.context
        request.candidates = []
        request.pending_check_count = 0
        if context.can_check_load:
            request.candidates = sample(context, self.endpoints.home_zone, request, CANDIDATE_COUNT)
            for endpoint in request.candidates:
                is_old = context.now - endpoint.utilization_at > context.reaction_time_us // 2
                if is_old and capacity_share(context, endpoint) >= 1.0:
                    request.pending_check_count += 1
                    endpoint.waiting_request_ids.append(request_id)
                    context.check_health(endpoint)
        if request.pending_check_count:
            objective = context.settings.classes[request.class_index].latency_objective_us
            wait = min(objective // 4, max(0, request.deadline - context.now) // 4)
            context.schedule(context.now + wait, self._assign_endpoint, request_id)
        else:
            self._assign_endpoint(request_id)

    def _assign_endpoint(self, request_id: int) -> None:
        """Select an endpoint and send the attempt; where none has room, the attempt has failed."""
        request = self.requests.by_id.get(request_id)
        if request is None or request.endpoint or request.retry_at > self.context.now:
            return  # its client left, or the wait for health checks outlived its attempt
        request.pending_check_count = 0
        if request.deadline <= self.context.now:
            self.retries.reject(request, 0)
        elif endpoint := select_endpoint(self.context, self.endpoints, request):
            self._send_attempt(request, endpoint)
        else:
            self.retries.handle_setup_failure(request)

    def _send_attempt(self, request: Request, endpoint: Endpoint) -> None:
        """Start the attempt, with a timeout that leaves time for another one if there may be one."""
        context = self.context
        timeout = request.deadline - context.now
        # With most set-ups failing, all endpoints wait for the same thing: asking again only adds to it.
        is_last = request.attempt_count + 1 >= context.settings.max_attempts
        if not is_last and context.setup_failure_rate < SHARED_FAILURE_RATE:
            objective = context.settings.classes[request.class_index].latency_objective_us
            timeout = max(timeout // 2, min(objective, timeout))
        if capacity_share(context, endpoint) < 1.0:
            endpoint.last_permit = available_permit(context, endpoint) or endpoint.last_permit
        pool = (
            self.endpoints.home_zone if endpoint.zone == context.settings.zone else self.endpoints.other_zones
        )
        endpoint_load.record_assignment(context, request, endpoint, pool)
        request.start_attempt(endpoint)
        context.actions.append(StartAttempt(request.id, endpoint.id, max(1, timeout)))

    def handle_attempt_established(self, event: events.AttemptEstablished) -> None:
        """Count the connection; if it lasts, clear the backoff of its key."""
        context = self.context
        request = self.requests.by_id.get(event.request_id)
        if request is None or request.endpoint is None:
            return
        if not request.is_established:
            request.establish()
            context.setup_failure_rate -= context.setup_failure_rate / SETUP_FAILURE_MEMORY
            context.connections_by_tenant[request.tenant] += 1
        if request.endpoint.message_delay_at < context.now - context.reaction_time_us:
            request.endpoint.ejection.attempt = 0
        if request.backoff:
            deadline_us = context.settings.classes[request.class_index].deadline_us
            context.schedule(context.now + deadline_us, self._clear_backoff, request.id)

    def _clear_backoff(self, request_id: int) -> None:
        request = self.requests.by_id.get(request_id)
        if request and request.is_established:
            self.requests.backoffs.pop(request.key, None)

    def handle_connection_report(self, event: events.ConnectionReport) -> None:
        """Take down the load of a connection (us a second) or the delay of its messages (ms)."""
        request = self.requests.by_id.get(event.request_id)
        endpoint = self.endpoints.by_id.get(event.endpoint_id)
        if request is None or endpoint is None or not 0.0 <= event.value < MAX_REPORTED_VALUE:
            return
        if event.kind == events.ReportKind.LOAD and request.endpoint is endpoint:
            endpoint.load = max(0.0, endpoint.load + event.value - request.load)
            request.load = event.value
        elif event.kind in (events.ReportKind.REPORTED_DELAY, events.ReportKind.MEASURED_DELAY):
            endpoint.reports_delay |= event.kind == events.ReportKind.REPORTED_DELAY
            outlier_detection.record_message_delay(self.context, endpoint, event.value * 1000)

    def handle_health_check_result(self, event: events.HealthCheckResult) -> None:
        """Judge the endpoint, and go on with the requests that waited for this alone."""
        endpoint = self.endpoints.by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        waiting_ids = endpoint.finish_check()
        outlier_detection.judge_health_check(self.context, endpoint, event)
        for request_id in waiting_ids:
            request = self.requests.by_id.get(request_id)
            if request and request.pending_check_count:
                request.pending_check_count -= 1
                if not request.pending_check_count:
                    self._assign_endpoint(request_id)

    def handle_attempt_ended(self, event: events.AttemptEnded) -> None:
        """Judge the endpoint; retry the request, if no connection came of it and its client still waits."""
        context = self.context
        request = self.requests.by_id.get(event.request_id)
        endpoint = self.endpoints.by_id.get(event.endpoint_id)
        if endpoint and event.status in outlier_detection.EJECTING_STATUSES:
            outlier_detection.eject(context, endpoint)
        if endpoint and event.load_report:
            endpoint_load.record_load_report(context, endpoint, event.load_report)
        if request is None:
            return
        is_finished = event.is_closed or request.is_closed
        self._detach(request)
        if is_finished:
            del self.requests.by_id[request.id]
            return
        request.last_failed_endpoint = endpoint
        if not event.status.definitely_not_executed and request.may_have_run_on is None:
            request.may_have_run_on = endpoint
            request.may_have_run_at = context.now - event.latency_us
        if event.status in (events.AttemptStatus.TIMEOUT, events.AttemptStatus.ERROR):
            context.setup_failure_rate += (1 - context.setup_failure_rate) / SETUP_FAILURE_MEMORY
        if event.status is events.AttemptStatus.NOT_ATTEMPTED:
            self.retries.reject(request, 0)
        else:
            self.retries.handle_setup_failure(request)

    def _detach(self, request: Request) -> None:
        if request.is_established:
            self.context.connections_by_tenant[request.tenant] -= 1
        if endpoint := request.detach():
            endpoint.load = max(0.0, endpoint.load - request.load) if endpoint.connections else 0.0
