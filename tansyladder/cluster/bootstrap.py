"""Joins the node's cluster at startup, once a previous process of the same node has ended.

Two running processes of one node would be two voters with the same name, and the previous process owns the
store for as long as it runs. Until this process has joined, clients with tokens are asked to retry (BUSY).
"""

from __future__ import annotations

import threading
from dataclasses import dataclass

from tansyladder.cluster.document_lease import LeaseExpiryPolicy
from tansyladder.cluster.document_publisher import DocumentPublisher
from tansyladder.cluster.document_replica import DocumentReplicaSettings
from tansyladder.cluster.document_validators import VALIDATORS
from tansyladder.cluster.raft_runner import NodeStorage, RaftRunner
from tansyladder.config.errors import ConfigError
from tansyladder.config.operator_settings import DocumentsOptions
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.node.attachable_endpoint_cache import AttachableEndpointCache
from tansyladder.node.context import NodeContext
from tansyladder.node.decision_gate import DecisionGate
from tansyladder.sessions.resumption_handler import ResumptionHandler
from tansyladder.sessions.session_store import open_session_store
from tansyladder.store import Store, StoreError


@dataclass(frozen=True, slots=True)
class ClusterJoinContext:
    """The objects that a process needs to join its node's cluster."""

    context: NodeContext
    resumption_handler: ResumptionHandler
    endpoint_cache: AttachableEndpointCache
    decision_gate: DecisionGate
    handover: ListenerHandover
    state_directory: str | None  # this node's directory, which outlives the process; None if there is none


def join_cluster(join_context: ClusterJoinContext) -> None:
    """Join the cluster now, or in a background thread once the previous process of this node has ended.

    The background thread logs the errors listed below; they are not raised to the caller.

    Raises:
        OSError, ValueError, ConfigError: The settings can't be used.
        StoreError: The store can't be read.
    """
    if join_context.handover.is_predecessor_running:
        threading.Thread(
            target=_join_after_predecessor, args=(join_context,), name="join", daemon=True
        ).start()
    else:
        _join(join_context)


def _join_after_predecessor(join_context: ClusterJoinContext) -> None:
    """Wait until the previous process has ended, then join; runs in the background thread."""
    join_context.handover.wait_until_predecessor_exits()
    try:
        _join(join_context)
    except (OSError, ValueError, ConfigError, StoreError) as err:
        log(LogEvent.CLUSTER_JOIN_FAILED, error=err)


def _join(join_context: ClusterJoinContext) -> None:
    """Open the store, start Raft with it, and let the decision gate use the replicated documents."""
    context = join_context.context
    documents = context.options.documents
    store = _open_store(join_context)
    raft_runner = RaftRunner(
        context.configuration.config.name,
        context.options.peers,
        NodeStorage(store, join_context.state_directory),
        join_context.resumption_handler.on_ownership_claimed,
        lambda: context.clock.to_unix_us(now()),
        _document_settings(documents),
    )
    join_context.resumption_handler.join_peers(raft_runner)
    replica = raft_runner.document_replica
    if replica is not None:
        join_context.decision_gate.join(DocumentPublisher(raft_runner, replica, documents.decision_log))
    raft_runner.start()
    log(LogEvent.CLUSTER_JOINED, has_store=store is not None)


def _open_store(join_context: ClusterJoinContext) -> Store | None:
    """Open the store and start its maintenance; return None if it is disabled or can't be used."""
    options = join_context.context.options.store
    if not options.enabled:
        return None
    session_store = open_session_store(options.directory, join_context.context.configuration.config.name)
    if session_store is None:
        return None
    join_context.endpoint_cache.attach(session_store)
    session_store.start()
    return session_store.store


def _document_settings(options: DocumentsOptions) -> DocumentReplicaSettings | None:
    """Return the settings of the document replica, or None if documents are disabled."""
    if not options.enabled:
        return None
    return DocumentReplicaSettings(VALIDATORS, LeaseExpiryPolicy(options.on_lease_expiry), options.lease)
