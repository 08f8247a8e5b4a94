"""The two calls to discovery: for the complete endpoint list, and for the changes since a known one."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

import msgspec

from tansyladder.config.platform import EndpointList
from tansyladder.net.clock import MILLISECOND
from tansyladder.net.http import HttpClient, HttpError, HttpTimeoutError

CONNECT_TIMEOUT = timedelta(seconds=1)
IMMEDIATE_ANSWER_TIMEOUT = timedelta(seconds=2)  # for the complete list; discovery queues calls
ENDPOINT_LIST_PATH = "/v1/servers"


class CallFailure(NamedTuple):
    """Why a call to discovery returned no list."""

    error: str
    is_timeout: bool = False
    is_stale: bool = False  # the list that was sent is older than the known one


class DiscoveryCalls:
    """Makes calls to discovery, and decodes the lists that it answers. Owned by the polling thread."""

    def __init__(self) -> None:
        self._decoder = msgspec.json.Decoder(EndpointList)

    def request_snapshot(self, http: HttpClient, known_revision: int) -> EndpointList | CallFailure:
        """Request the complete list, which is answered at once."""
        return self._call(http, ENDPOINT_LIST_PATH, IMMEDIATE_ANSWER_TIMEOUT, known_revision)

    def poll(
        self, http: HttpClient, known_revision: int, poll_timeout: timedelta, answer_timeout: timedelta
    ) -> EndpointList | CallFailure:
        """Poll for the changes since a revision.

        Args:
            http: The client of the address to poll.
            known_revision: The revision of the known list.
            poll_timeout: How long discovery is asked to wait for a change.
            answer_timeout: How long this call waits for the answer.
        """
        path = f"{ENDPOINT_LIST_PATH}?since={known_revision}&timeout_ms={poll_timeout // MILLISECOND}"
        return self._call(http, path, answer_timeout, known_revision)

    def _call(
        self, http: HttpClient, path: str, answer_timeout: timedelta, known_revision: int
    ) -> EndpointList | CallFailure:
        try:
            listed = self._decoder.decode(http.get(path, CONNECT_TIMEOUT, answer_timeout))
        except (OSError, HttpError, msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
            http.close()
            return CallFailure(str(err), is_timeout=isinstance(err, HttpTimeoutError))
        if not listed.complete and listed.revision < known_revision:
            http.close()
            error = f"revision {listed.revision} is older than the known revision {known_revision}"
            return CallFailure(error, is_stale=True)
        return listed
