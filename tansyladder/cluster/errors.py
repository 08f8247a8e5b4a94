"""Errors of connections between the nodes of a cluster, and of documents."""

from __future__ import annotations


class ClusterError(Exception):
    """The base of this package's errors."""


class ClusterConfigurationError(ClusterError, ValueError):
    """The settings don't describe a cluster with this node in it; `path` names the setting."""

    def __init__(self, path: str, problem: str) -> None:
        """Make the error for the setting at a path; `problem` says what is wrong with it."""
        super().__init__(f"{path}: {problem}")
        self.path = path


class PeerError(ClusterError):
    """The other end of a connection is no peer of this node, or violates the protocol."""


class PeerProtocolError(PeerError):
    """The received data is no message of the protocol."""


class PeerRejectedError(PeerError):
    """The other end has another cluster, version or key, or its clock differs too much."""


class DocumentRejectedError(ClusterError, ValueError):
    """A content can't become a version of a document."""

    def __init__(self, reason: str) -> None:
        """Make the error; `reason` is the path and the description of the fault."""
        super().__init__(reason)
        self.reason = reason


class DocumentChangeError(ClusterError, ValueError):
    """A change of a document can't begin, or has not been committed as far as this node knows."""

    def __init__(self, reason: str) -> None:
        """Make the error; `reason` is the answer to the operator."""
        super().__init__(reason)
        self.reason = reason
