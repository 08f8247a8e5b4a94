"""How a process joins its node's peers: at once, or when the process before it has ended.

Two processes of one node would be two voters under one name, and the store is the earlier one's as long as it
runs. Until this one has joined, tokens are answered BUSY.
"""

from __future__ import annotations

import threading

from tansyladder.cluster.document_publisher import VALIDATORS, DocumentPublisher
from tansyladder.cluster.document_replica import LeaseExpiryPolicy
from tansyladder.cluster.raft_runner import RaftRunner
from tansyladder.config.platform import ConfigError
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.sessions.resumption_handler import ResumptionHandler
from tansyladder.sessions.session_store import open_session_store
from tansyladder.store import StoreError


def join(core: PolicyRunner, resuming: ResumptionHandler, folder: str | None) -> None:
    """Take part in what the peers agree on. `folder`: the node's own, that outlives its process.

    OSError, ValueError, ConfigError: the settings don't fit. StoreError: the records can't be read. Where a
    process before this one runs, that is known only later, and written to the log.
    """
    if core.listener_handover.predecessor_gone.is_set():
        _join(core, resuming, folder)
    else:
        threading.Thread(target=_follow, args=(core, resuming, folder), name="join", daemon=True).start()


def _follow(core: PolicyRunner, resuming: ResumptionHandler, folder: str | None) -> None:
    core.listener_handover.predecessor_gone.wait()
    try:
        _join(core, resuming, folder)
    except (OSError, ValueError, ConfigError, StoreError) as err:
        log(LogEvent.CLUSTER_JOIN_FAILED, why=err)


def _join(core: PolicyRunner, resuming: ResumptionHandler, folder: str | None) -> None:
    store, keeping = core.options.store, None
    if store.enabled:
        keeping = core.endpoint_cache = open_session_store(store.directory, core.config.name)
        if keeping is not None:
            keeping.start()
    told = core.options.documents
    agreeing = RaftRunner(
        core.config.name,
        core.options.peers,
        keeping.store if keeping is not None else None,
        resuming.on_ownership_claimed,
        lambda: core.clock.micros(now()),
        folder,
        VALIDATORS if told.enabled else None,
        LeaseExpiryPolicy(told.cut_off),
        told.lease,
    )
    resuming.ownership_service = agreeing
    if agreeing.document_replica is not None:
        core.decision_permit = DocumentPublisher(agreeing, agreeing.document_replica, told.stamps)
    agreeing.start()
    log(LogEvent.CLUSTER_JOINED, store=keeping is not None)
