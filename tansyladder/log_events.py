"""The events of the log, with the fields that each may have; `docs/on-call.md` explains them."""

from __future__ import annotations

from enum import StrEnum


class LogEvent(StrEnum):
    """An event of the log. Each member is defined by the event's name and the names of its fields."""

    fields: tuple[str, ...]  # an annotation without a value, which defines no member

    def __new__(cls, name: str, *fields: str) -> LogEvent:
        """Create a member whose value is the event's name; the field names become its `fields`."""
        event = str.__new__(cls, name)
        event._value_ = name
        event.fields = fields
        return event

    ACCEPT_FAILED = "accept_failed", "error"
    CACHED_ENDPOINTS_USED = "cached_endpoints_used", "revision", "entries", "age_ms"
    CLIENT_CONNECTION_FAILED = "client_connection_failed", "error"
    CLIENT_REJECTED = "client_rejected", "reason", "error"
    CLUSTER_JOIN_FAILED = "cluster_join_failed", "error"
    CLUSTER_JOINED = "cluster_joined", "has_store"
    CONNECT_FAILED = "connect_failed", "endpoint", "error"
    CONNECTION_ADOPTION_FAILED = "connection_adoption_failed", "endpoint", "error"
    CONNECTION_RESTORE_FAILED = "connection_restore_failed", "endpoint", "status"
    COUNTS = "counts", "timestamp", "endpoints"  # and a field for each count above 0
    DISCOVERY_FAILED = "discovery_failed", "discovery", "error", "duration_ms"
    DISK_WITNESS_FAILED = "disk_witness_failed", "error"
    DOCUMENT_CHANGE_ENDED = (
        "document_change_ended",
        "document",
        "idempotency_key",
        "outcome",
        "change_number",
        "detail",
    )
    DOCUMENT_CHANGE_REQUESTED = "document_change_requested", "document", "idempotency_key", "digest"
    DOCUMENT_CHANGE_STEP = "document_change_step", "step", "change_number", "detail"
    DOCUMENT_DELETE_FAILED = "document_delete_failed", "error"
    DOCUMENT_STORE_FAILED = "document_store_failed", "error"
    DRAINED = "drained", "established", "pending"
    ENDPOINT_CONNECTION_RESET = "endpoint_connection_reset", "endpoint", "error"
    ENDPOINT_SILENT = "endpoint_silent", "endpoint"
    ENDPOINT_STALLED = "endpoint_stalled", "endpoint"
    ENDPOINTS_UPDATED = "endpoints_updated", "revision", "is_complete", "entries"
    INTERNAL_ERROR = "internal_error", "error"
    INVALID_ENDPOINT = "invalid_endpoint", "endpoint", "error"
    INVALID_LINE = "invalid_line", "source", "error"
    INVALID_LOAD_REPORT = "invalid_load_report", "endpoint", "line"
    INVALID_RESPONSE = "invalid_response", "endpoint", "line", "error"
    INVARIANT_VIOLATED = "invariant_violated", "invariant", "violations"
    LISTENER_HANDOVER = "listener_handover", "step"
    LISTENER_HANDOVER_FAILED = "listener_handover_failed", "error"
    PEER_ACCEPT_FAILED = "peer_accept_failed", "error"
    PEER_CONNECTED = "peer_connected", "peer"
    PEER_DISCONNECTED = "peer_disconnected", "peer", "dropped_messages"
    PEER_REJECTED = "peer_rejected", "peer", "error"
    POLICY = "policy", "message"
    RAFT_STATE = "raft_state", "role", "term", "leader", "is_voting", "stale_disk_suspected"
    RAFT_STOPPED = "raft_stopped", "error"
    RELOAD_FAILED = "reload_failed", "error"
    RELOAD_IGNORED = "reload_ignored", "changed_keys"
    RELOADED = "reloaded", "discovery", "is_discovery_switched", "changed_keys"
    REPLAY_MISMATCH = "replay_mismatch", "reason", "up_line"
    RESUME_REJECTED = "resume_rejected", "reason"
    SESSION_MOVED = "session_moved", "endpoint", "reason", "duration_ms"
    SESSION_REJECTED = "session_rejected", "reason"
    SESSION_RESTORED = "session_restored", "remaining_ms"
    SESSION_RESUMED = "session_resumed", "received_lines"
    SESSION_SUSPENDED = "session_suspended", "reason"
    SESSION_TAKEN_OVER = "session_taken_over", "ownership_epoch", "duration_ms"
    SESSION_TAKEOVER_FAILED = "session_takeover_failed", "error"
    SETTINGS_ABSENT = "settings_absent", "features"
    STALE_DISK_SUSPECTED = "stale_disk_suspected", "has_all_entries"
    STANDBY_ENTERED = "standby_entered", "established", "pending"
    STARTED = "started", "node", "known_endpoints", "socket_limit"
    STATE_CHANGED = "state_changed", "state", "previous_state"
    STOPPING = "stopping", "signal"
    STORE_FAILED = "store_failed", "code", "error"
    STORE_OPEN = (
        "store_open",
        "truncated_bytes",
        "rebuilt_hints",
        "keys",
        "segments",
        "total_bytes",
        "live_bytes",
        "index_bytes",
        "sequence",
    )
    STORE_UNUSABLE = "store_unusable", "code", "error"


class ClientRejectionReason(StrEnum):
    """Why the node rejected a client without asking the policy; `reason` of `client_rejected`."""

    CONNECTION_LIMIT = "connection_limit"  # the node already serves its maximum number of connections
    DESCRIPTOR_LIMIT = "descriptor_limit"  # the process has no free file descriptor
    THREAD_LIMIT = "thread_limit"  # the system could not start a thread
    PENDING_EVICTED = "pending_evicted"  # no first line had arrived, and a newer client needed the place


class LineSource(StrEnum):
    """Which input of the node an invalid line was part of; `source` of `invalid_line`."""

    CLIENT = "client"  # what a client sent before its connection was established
    RELAY = "relay"  # a line of an established connection that can't be resumed
    SESSION = "session"  # a line that the client of a resumable session sent


class HandoverStep(StrEnum):
    """A completed step in the handover of the clients' listener to the next process of the node.

    It is the `step` of `listener_handover`. Predecessor and successor are those of the process that logs it.
    """

    LISTENER_SENT = "listener_sent"  # to a successor
    LISTENER_RECEIVED = "listener_received"  # from the predecessor
    SUCCESSOR_SERVING = "successor_serving"  # a successor has reported that it serves clients
    SUCCESSOR_EXITED = "successor_exited"  # its process has ended, or it sent an unknown message
    PREDECESSOR_EXITED = "predecessor_exited"
