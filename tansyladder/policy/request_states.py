"""The states of a request and the transitions between them. It makes no other decisions."""

from __future__ import annotations

from enum import IntEnum


class RequestState(IntEnum):
    """The state of a request, or of the connection that it became."""

    PENDING = 0  # waits for an attempt, or has one in flight
    ABANDONED = 1  # the client left before the connection was established
    ESTABLISHED = 2  # the connection is established
    CLOSING = 3  # the connection is established, but the client left or was asked to reconnect
    EVICTED = 4  # has an attempt in flight that was cancelled; gets its final answer when the attempt ends


STATE_WHEN_ESTABLISHED = {  # transitions when the connection of an attempt is established
    RequestState.PENDING: RequestState.ESTABLISHED,
    RequestState.ABANDONED: RequestState.CLOSING,
    RequestState.ESTABLISHED: RequestState.ESTABLISHED,
    RequestState.CLOSING: RequestState.CLOSING,
    RequestState.EVICTED: RequestState.ESTABLISHED,
}
STATE_WHEN_CLOSED = {  # transitions when the client leaves or is asked to reconnect
    RequestState.PENDING: RequestState.ABANDONED,
    RequestState.ABANDONED: RequestState.ABANDONED,
    RequestState.ESTABLISHED: RequestState.CLOSING,
    RequestState.CLOSING: RequestState.CLOSING,
    RequestState.EVICTED: RequestState.ABANDONED,
}
STATE_WHEN_EVICTED = {  # transitions when the node can't wait for the attempt in flight any longer
    RequestState.PENDING: RequestState.EVICTED,
    RequestState.ABANDONED: RequestState.ABANDONED,
    RequestState.ESTABLISHED: RequestState.ESTABLISHED,
    RequestState.CLOSING: RequestState.CLOSING,
    RequestState.EVICTED: RequestState.EVICTED,
}
ESTABLISHED_STATES = (RequestState.ESTABLISHED, RequestState.CLOSING)
CLOSED_STATES = (RequestState.ABANDONED, RequestState.CLOSING)
