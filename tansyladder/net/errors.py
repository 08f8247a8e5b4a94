"""The base of the network package's errors.

Modules define theirs under it: `protocol.LineError`, `http.HttpError`.
What the operating system reports stays an `OSError`.
"""

from __future__ import annotations


class NetworkError(Exception):
    """The other side of a connection does not follow its protocol, or does not answer."""
