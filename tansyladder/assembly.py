"""Builds a node: the only module that creates its parts and passes each of them its dependencies.

Modules of optional features are imported only if the operator's settings enable the feature, and modules that
are not needed before clients can connect are imported after that. Both keep the start short.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from tansyladder.config.errors import ConfigError
from tansyladder.config.operator_settings import Options
from tansyladder.config.platform import Address, Config
from tansyladder.net.clock import Clock
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.node.active_configuration import ActiveConfiguration
from tansyladder.node.attachable_endpoint_cache import AttachableEndpointCache
from tansyladder.node.client_listener import ClientListener
from tansyladder.node.context import NodeContext
from tansyladder.node.decision_gate import DecisionGate
from tansyladder.node.endpoint_registry import newest_endpoint_list
from tansyladder.node.lifecycle import Lifecycle
from tansyladder.node.metrics import Metrics
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.node.work_queues import WorkQueues
from tansyladder.start_errors import BadConfigError, BadSettingsError

if TYPE_CHECKING:  # imported late or not at all at run time
    from tansyladder.node.reload import Reloader
    from tansyladder.sessions.resumption_handler import ResumptionHandler


@dataclass(frozen=True, slots=True)
class Node:
    """A complete node. Owned by the main thread, which calls `start` once, then `stop`."""

    context: NodeContext
    work_queues: WorkQueues
    handover: ListenerHandover
    endpoint_cache: AttachableEndpointCache
    decision_gate: DecisionGate
    session_service: ResumptionHandler | None  # None if sessions can't be resumed
    listener: ClientListener

    def start(self, environ: Mapping[str, str], options_path: str | Path | None) -> Reloader:
        """Start the node's threads, and accept clients once the others run; the reloader starts last.

        Args:
            environ: The environment, which names the platform's configuration file for reloads.
            options_path: The operator's settings file; None if there is none.

        Returns:
            The reloader of the configuration.
        """
        # Imported here: the listener is open already, and clients that connect meanwhile wait in its queue.
        from tansyladder.node.discovery_client import DiscoveryClient  # noqa: PLC0415
        from tansyladder.node.health_checker import HealthChecker  # noqa: PLC0415

        context = self.context
        configured = context.configuration.config.known_endpoints
        initial = newest_endpoint_list(
            configured, self.endpoint_cache, self.handover.endpoints, context.clock
        )
        context.policy.start(initial)
        discovery = DiscoveryClient(context, self.work_queues, self.endpoint_cache, self.handover.discovery)
        discovery.start()
        HealthChecker(context, self.work_queues).start()
        self.listener.start()
        # Imported here, because clients are already accepted meanwhile.
        from tansyladder.node.reload import Reloader  # noqa: PLC0415

        reloader = Reloader(environ, context, discovery, self.session_service, options_path)
        reloader.start()
        return reloader

    def stop(self) -> None:
        """Drain the connections, then leave the cluster and close the store."""
        self.listener.drain()
        self.decision_gate.leave()
        self.endpoint_cache.close()


def build_context(config: Config, options: Options, work_queues: WorkQueues) -> NodeContext:
    """Build the context that the parts of a node share."""
    configuration = ActiveConfiguration(config)
    clock = Clock()
    metrics = Metrics(config.class_names)
    policy = PolicyRunner(configuration, clock, metrics, work_queues)
    return NodeContext(configuration, options, clock, metrics, Lifecycle(), policy)


def build_node(config: Config, options: Options, state_directory: str | None) -> Node:
    """Build a node, open its listeners, and join its cluster if it has one.

    Args:
        config: The platform's configuration.
        options: The operator's settings.
        state_directory: A directory of this node that outlives its process; None if there is none.

    Raises:
        BadConfigError: The node can't listen on a configured address.
        BadSettingsError: The node can't join its cluster with the settings in `peers`.
    """
    work_queues = WorkQueues()
    context = build_context(config, options, work_queues)
    handover = ListenerHandover(config.listen, state_directory)
    endpoint_cache = AttachableEndpointCache()
    decision_gate = DecisionGate(requires_lease=options.documents.enabled)
    session_service = _build_session_service(context, endpoint_cache)
    listener = _open_listener(context, handover, session_service, decision_gate)
    node = Node(context, work_queues, handover, endpoint_cache, decision_gate, session_service, listener)
    if config.operator is not None:
        _start_admin_server(node, config.operator)
    if options.peers.enabled:
        _join_cluster(node, state_directory)
    return node


def _build_session_service(
    context: NodeContext, endpoint_cache: AttachableEndpointCache
) -> ResumptionHandler | None:
    """Build the service that resumes sessions, and open its store, each if the settings enable it.

    With peers the store is opened by `join_cluster`, after the predecessor has ended.
    """
    options = context.options
    store = None
    if options.store.enabled and not options.peers.enabled:
        # Imported here, so that a node without a store does not load it.
        from tansyladder.sessions.session_store import open_session_store  # noqa: PLC0415

        store = open_session_store(options.store.directory, context.configuration.config.name)
        if store is not None:
            endpoint_cache.attach(store)
            store.start()
    if not options.resume.enabled:
        return None
    # Imported here, because it loads the cryptography library.
    from tansyladder.sessions.resumption_handler import ResumptionHandler  # noqa: PLC0415
    from tansyladder.sessions.session_registry import SessionRegistry  # noqa: PLC0415

    return ResumptionHandler(context, SessionRegistry(context, store))


def _open_listener(
    context: NodeContext,
    handover: ListenerHandover,
    session_service: ResumptionHandler | None,
    decision_gate: DecisionGate,
) -> ClientListener:
    """Open the clients' listener, or take over the predecessor's."""
    try:
        return ClientListener(context, handover, session_service, decision_gate)
    except OSError as err:
        raise BadConfigError(f"GW_LISTEN: {err}") from err


def _start_admin_server(node: Node, address: Address) -> None:
    """Start to answer the operators' calls on an address."""
    # Imported here, so that a node without an operators' address does not load it.
    from tansyladder.node.admin_server import AdminServer  # noqa: PLC0415

    try:
        AdminServer(node.context, node.decision_gate, node.listener, address).start()
    except OSError as err:
        raise BadConfigError(f"GW_OPERATOR: {err}") from err


def _join_cluster(node: Node, state_directory: str | None) -> None:
    """Join the cluster, whose nodes take over each other's sessions."""
    # Imported here, so that a node without peers does not load it.
    from tansyladder.cluster.bootstrap import ClusterJoinContext, join_cluster  # noqa: PLC0415

    if node.session_service is None:
        return  # excluded by the validation of the settings: peers require resumption
    join_context = ClusterJoinContext(
        node.context,
        node.session_service,
        node.endpoint_cache,
        node.decision_gate,
        node.handover,
        state_directory,
    )
    try:
        join_cluster(join_context)
    except (OSError, ValueError, ConfigError) as err:
        raise BadSettingsError(f"peers: {err}") from err
