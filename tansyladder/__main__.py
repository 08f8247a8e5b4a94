"""Entry point of `python -m tansyladder`: without arguments it runs the node, otherwise a command.

The platform starts the node without arguments.
"""

from __future__ import annotations

import sys

from tansyladder.serve import serve


def main() -> int:
    """Run the node or a command; return the exit code."""
    if len(sys.argv) == 1:
        return serve()
    # Imported here, because it loads click and the tools, which a node on the platform does not need.
    from tansyladder.cli import main as run_command  # noqa: PLC0415

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
