"""The base class of the network package's errors.

Modules derive their own errors from it, such as `protocol.LineError` and `http.HttpError`.
Errors of the operating system stay an `OSError`.
"""

from __future__ import annotations


class NetworkError(Exception):
    """The other side of a connection broke the protocol, did not answer or disconnected."""
