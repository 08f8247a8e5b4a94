"""Brings a process into its node's cluster: at once, or when the process before it has ended.

Two processes of one node would be two voters under one name, and the store belongs to the earlier one as long
as it runs. Until this process has joined, clients with tokens are asked to retry (BUSY).
"""

from __future__ import annotations

import threading

from tansyladder.cluster.document_lease import LeaseExpiryPolicy
from tansyladder.cluster.document_publisher import DocumentPublisher
from tansyladder.cluster.document_replica import DocumentReplicaSettings
from tansyladder.cluster.document_validators import VALIDATORS
from tansyladder.cluster.raft_runner import NodeStorage, RaftRunner
from tansyladder.config.errors import ConfigError
from tansyladder.config.operator_settings import DocumentsOptions
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.sessions.resumption_handler import ResumptionHandler
from tansyladder.sessions.session_store import open_session_store
from tansyladder.store import Store, StoreError


def join_cluster(
    policy_runner: PolicyRunner, resumption_handler: ResumptionHandler, state_directory: str | None
) -> None:
    """Join the cluster now, or in a thread of its own once the process before this one has ended.

    `state_directory`: the node's own, which outlives its process.

    OSError, ValueError, ConfigError: the settings don't fit. StoreError: the store can't be read. In the
    thread they are logged.
    """
    if policy_runner.listener_handover.is_predecessor_running:
        arguments = (policy_runner, resumption_handler, state_directory)
        threading.Thread(target=_join_after_predecessor, args=arguments, name="join", daemon=True).start()
    else:
        _join(policy_runner, resumption_handler, state_directory)


def _join_after_predecessor(
    policy_runner: PolicyRunner, resumption_handler: ResumptionHandler, state_directory: str | None
) -> None:
    policy_runner.listener_handover.wait_until_predecessor_exits()
    try:
        _join(policy_runner, resumption_handler, state_directory)
    except (OSError, ValueError, ConfigError, StoreError) as err:
        log(LogEvent.CLUSTER_JOIN_FAILED, why=err)


def _join(
    policy_runner: PolicyRunner, resumption_handler: ResumptionHandler, state_directory: str | None
) -> None:
    store = _open_store(policy_runner)
    documents = policy_runner.options.documents
    raft_runner = RaftRunner(
        policy_runner.config.name,
        policy_runner.options.peers,
        NodeStorage(store, state_directory),
        resumption_handler.on_ownership_claimed,
        lambda: policy_runner.clock.micros(now()),
        _document_settings(documents),
    )
    resumption_handler.join_peers(raft_runner)
    replica = raft_runner.document_replica
    if replica is not None:
        policy_runner.decision_permit = DocumentPublisher(raft_runner, replica, documents.stamps)
    raft_runner.start()
    log(LogEvent.CLUSTER_JOINED, store=store is not None)


def _open_store(policy_runner: PolicyRunner) -> Store | None:
    """Open the node's store, if it has one that can be used, and let its owner run."""
    options = policy_runner.options.store
    if not options.enabled:
        return None
    session_store = open_session_store(options.directory, policy_runner.config.name)
    policy_runner.endpoint_cache = session_store
    if session_store is None:
        return None
    session_store.start()
    return session_store.store


def _document_settings(options: DocumentsOptions) -> DocumentReplicaSettings | None:
    if not options.enabled:
        return None
    return DocumentReplicaSettings(VALIDATORS, LeaseExpiryPolicy(options.cut_off), options.lease)
