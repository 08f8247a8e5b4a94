"""The states of a request, and the transitions between them; nothing else is decided here."""

from __future__ import annotations

from enum import IntEnum


class RequestState(IntEnum):
    """The state of a request, or of the connection that it became."""

    PENDING = 0  # it waits for an attempt, or has one in flight
    ABANDONED = 1  # its client left while an attempt was in flight
    ESTABLISHED = 2  # its connection is established
    CLOSING = 3  # its connection is established, but its client left or was asked to reconnect


STATE_WHEN_ESTABLISHED = {  # the transitions when the connection of an attempt is established
    RequestState.PENDING: RequestState.ESTABLISHED,
    RequestState.ABANDONED: RequestState.CLOSING,
    RequestState.ESTABLISHED: RequestState.ESTABLISHED,
    RequestState.CLOSING: RequestState.CLOSING,
}
STATE_WHEN_CLOSED = {  # the transitions when the client leaves or is asked to reconnect
    RequestState.PENDING: RequestState.ABANDONED,
    RequestState.ABANDONED: RequestState.ABANDONED,
    RequestState.ESTABLISHED: RequestState.CLOSING,
    RequestState.CLOSING: RequestState.CLOSING,
}
ESTABLISHED_STATES = (RequestState.ESTABLISHED, RequestState.CLOSING)
CLOSED_STATES = (RequestState.ABANDONED, RequestState.CLOSING)
