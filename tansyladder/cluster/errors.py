"""Errors of peer connections and of replicated documents."""

from __future__ import annotations


class ClusterError(Exception):
    """Base class of the errors of this package."""


class ClusterConfigurationError(ClusterError, ValueError):
    """The settings don't describe a cluster that includes this node; `path` names the setting."""

    def __init__(self, path: str, problem: str) -> None:
        """Create the error for the setting at `path`; `problem` describes what is wrong with it."""
        super().__init__(f"{path}: {problem}")
        self.path = path


class PeerError(ClusterError):
    """The other end of a connection is not a peer of this node, or it violates the protocol."""


class PeerProtocolError(PeerError):
    """The received data is not a valid frame or message of the protocol."""


class PeerRejectedError(PeerError):
    """The other end has a wrong name, cluster, protocol version or key, or its clock differs too much."""


class DocumentRejectedError(ClusterError, ValueError):
    """The content can't become a version of the document."""

    def __init__(self, reason: str) -> None:
        """Create the error; `reason` contains the path and the description of the fault."""
        super().__init__(reason)
        self.reason = reason


class DocumentChangeError(ClusterError, ValueError):
    """A document change can't begin, or this node doesn't know it to be committed."""

    def __init__(self, reason: str) -> None:
        """Create the error; `reason` is sent to the operator as the answer."""
        super().__init__(reason)
        self.reason = reason
