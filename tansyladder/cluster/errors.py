"""Errors of connections between the nodes of a cluster, and of documents."""

from __future__ import annotations


class ClusterError(Exception):
    """The base of this package's errors."""


class ClusterConfigurationError(ClusterError, ValueError):
    """The settings can't describe a cluster with this node in it; `path` names the setting."""

    def __init__(self, path: str, problem: str) -> None:
        """`problem`: what is wrong with the setting."""
        super().__init__(f"{path}: {problem}")
        self.path = path


class PeerError(ClusterError):
    """The other end of a connection is no peer of this node, or sends what no peer sends."""


class PeerProtocolError(PeerError):
    """What came is no message of the protocol."""


class PeerRejectedError(PeerError):
    """The other end is of another cluster or version, has another key, or its clock is off."""


class DocumentRejectedError(ClusterError, ValueError):
    """A content can't become a version of a document."""

    def __init__(self, reason: str) -> None:
        """`reason`: the path of the fault, and what it is."""
        super().__init__(reason)
        self.reason = reason


class DocumentChangeError(ClusterError, ValueError):
    """A change of a document can't begin, or has not been committed as far as this node knows."""

    def __init__(self, reason: str) -> None:
        """`reason`: the operators' answer."""
        super().__init__(reason)
        self.reason = reason
