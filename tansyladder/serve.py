"""The entry point of the node: blocks signals, then imports and runs the rest.

The imports take a while, and the default action of SIGHUP would end the process during them. Before signals
are blocked here, SIGHUP is ignored, by the shell's trap in the command `run` of `deploy/balancer.toml`.
"""

from __future__ import annotations

import signal
from pathlib import Path

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def serve(options_path: str | Path | None = None) -> int:
    """Run a node until a signal ends it, then drain its connections.

    Args:
        options_path: The operator's settings file; None if none was named.

    Returns:
        The exit code.
    """
    # Every thread inherits the mask; this thread waits for the signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    # Without a handler SIGHUP would stay ignored, and an ignored signal may be discarded while it is blocked.
    signal.signal(signal.SIGHUP, lambda *_: None)
    # Imported here, because it imports the whole node, which takes a while.
    from tansyladder.node_process import run  # noqa: PLC0415

    return run(options_path, SIGNALS)
