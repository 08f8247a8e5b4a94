"""The entry of the node: blocks signals, then imports and runs all else.

The imports take a while, and the default action of a SIGHUP is to end the program. Until signals are blocked
here the shell's trap of `run` ignores it.
"""

from __future__ import annotations

import signal
from pathlib import Path

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def serve(options_path: str | Path | None = None) -> int:
    """Run a node until a signal ends it, then drain.

    Args:
        options_path: Of the operator's settings, where there are.

    Returns:
        The exit code.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # every thread inherits it; this one waits for them
    signal.signal(signal.SIGHUP, lambda *_: None)  # an ignored one might not even wait
    # Only now, as it imports the node.
    from tansyladder.node_process import run  # noqa: PLC0415

    return run(options_path, SIGNALS)
