"""The types of the log's fields, which mypy uses to check each call of `log`. Not imported at run time.

`log_events` says which events have which fields. The name of a count is a plural noun, that of a boolean
begins with a verb, and that of a duration ends in its unit: a `timedelta` is written in milliseconds.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TypedDict


class LogFields(TypedDict, total=False):
    """All fields that a line may have."""

    age_ms: timedelta
    change_number: int  # the number of a document's change
    changed_keys: str  # keys of the settings, separated by commas
    code: str  # the code of a store error
    detail: str  # what is wrong with a change; "none" if nothing is
    digest: str  # in hexadecimal digits
    discovery: str  # the address of the discovery service
    document: str
    dropped_messages: int
    duration_ms: timedelta
    endpoint: str
    endpoints: str  # a list of NAME:connections/attempts/failed attempts
    entries: int  # in an endpoint list, or in the changes to it
    error: Exception | str
    established: int  # established connections
    features: str  # separated by commas
    has_all_entries: bool
    has_store: bool
    idempotency_key: str
    index_bytes: int
    invariant: str
    is_complete: bool
    is_discovery_switched: bool
    is_voting: bool
    keys: int  # in the store
    known_endpoints: int
    leader: str
    line: bytes
    live_bytes: int
    message: str
    node: str
    outcome: str
    ownership_epoch: int
    peer: str
    pending: int  # unanswered requests
    previous_state: str
    reason: str
    rebuilt_hints: int
    received_lines: int
    remaining_ms: timedelta
    revision: int
    role: str
    segments: int
    sequence: int
    signal: str
    socket_limit: int
    source: str
    stale_disk_suspected: bool
    state: str
    status: str
    step: str
    term: int
    timestamp: int  # Unix time in seconds
    total_bytes: int
    truncated_bytes: int
    up_line: str
    violations: int
