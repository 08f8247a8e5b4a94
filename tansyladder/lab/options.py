"""Options that several commands of the lab share."""

from __future__ import annotations

import click

SWITCH = click.Choice(["on", "off"])

seed_option = click.option("--seed", default=1, show_default=True)
json_option = click.option("--json", "as_json", is_flag=True, help="print one JSON object")
host_count_option = click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 50))
resume_option = click.option("--resume", default="on", show_default=True, type=SWITCH)
