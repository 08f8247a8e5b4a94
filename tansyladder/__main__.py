"""`python -m tansyladder`: without arguments the node, as the platform starts it; else the command line."""

from __future__ import annotations

import sys

from tansyladder.serve import serve


def main() -> int:
    """Run the node or a command, and return the exit code."""
    if len(sys.argv) == 1:
        return serve()
    # Lazy: it loads click and the tools, which a node on the platform does without.
    from tansyladder.cli import main as run_command  # noqa: PLC0415

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
