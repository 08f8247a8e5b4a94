"""`python -m tansyladder`: without words the node, as the platform starts it; with words the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """The exit code."""
    if len(sys.argv) == 1:
        from tansyladder.serve import serve

        return serve()
    from tansyladder.cli import main as command_line

    return command_line()


if __name__ == "__main__":
    sys.exit(main())
