"""The command line: all commands of the node, the store and the lab. Only `__main__` imports this module."""

from __future__ import annotations

import click

from tansyladder.lab import commands as lab_commands
from tansyladder.node_commands import check, serve
from tansyladder.store.commands import store


@click.group(
    help="A balancer node for long-lived connections, and its tools.",
    context_settings={"help_option_names": ["-h", "--help"]},
)
def commands() -> None:
    """Collect all commands."""


@commands.group()
def lab() -> None:
    """Simulate a node's clients, hosts and services on loopback, and measure nodes among them."""


lab_commands.register_commands(lab)
for command in (serve, check, store):
    commands.add_command(command)


def main() -> int:
    """Run the command named in the process's arguments; click exits with 2 if they name none."""
    commands(prog_name="tansyladder")
    return 0
