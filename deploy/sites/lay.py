"""Lay a whole bench site out of a kit's site and a small file of overrides.

    python deploy/sites/lay.py deploy/sites/rare-class.toml --kit ../given/kit

prints the path of the site that it has laid, in the ignored folder `laid/` beside this file. An override that
names a key which the site lacks ends it with that key and exit code 2.
"""

from __future__ import annotations

import shutil
from collections.abc import MutableMapping, MutableSequence
from pathlib import Path
from typing import Any

import click
import tomlkit
from tomlkit.exceptions import TOMLKitError

LAID = Path(__file__).parent / "laid"
BASE = "base"  # the override file's one key of its own: the site that it changes, from the kit's root
BESIDE = ("*.json", "unlock.txt")  # what a site needs in its own folder


class UnknownKeyError(Exception):
    """An override names a key that the site does not have; the message is its path."""


def override(site: Any, change: Any, path: str = "") -> Any:
    """Return the site with the change: tables and lists of tables are merged, all else is replaced."""
    if isinstance(site, MutableMapping) and isinstance(change, MutableMapping):
        for key, value in change.items():
            at = f"{path}.{key}" if path else str(key)
            if key not in site:
                raise UnknownKeyError(at)
            site[key] = override(site[key], value, at)
        return site
    if isinstance(change, MutableSequence) and change and isinstance(change[0], MutableMapping):
        if not isinstance(site, MutableSequence) or len(change) > len(site):
            raise UnknownKeyError(f"{path}.{len(site) if isinstance(site, MutableSequence) else 0}")
        for i, value in enumerate(change):
            override(site[i], value, f"{path}.{i}")
        return site
    if isinstance(site, MutableMapping):
        raise UnknownKeyError(f"{path}: a table")
    return change


def lay(overrides: Path, kit: Path, to: Path) -> Path:
    """Write the site and the files beside it into a folder of its own under `to`; the site's path.

    UnknownKeyError, OSError, TOMLKitError: nothing is left of it.
    """
    change = tomlkit.parse(overrides.read_text())
    base = kit / str(change.pop(BASE))
    site = override(tomlkit.parse(base.read_text()), change)
    folder = to / overrides.stem
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    for pattern in BESIDE:
        for file in base.parent.glob(pattern):
            shutil.copyfile(file, folder / file.name)
    laid = folder / overrides.name
    laid.write_text(tomlkit.dumps(site))
    return laid


@click.command(help=__doc__)
@click.argument("overrides", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@click.option("--kit", type=click.Path(path_type=Path, file_okay=False, exists=True), required=True)
@click.option("--to", type=click.Path(path_type=Path, file_okay=False), default=LAID)
def main(overrides: Path, kit: Path, to: Path) -> None:
    """Lay a site out of a kit's site and a file of overrides, and print its path."""
    try:
        click.echo(lay(overrides, kit, to))
    except UnknownKeyError as err:
        click.echo(f"{overrides.name}: {err}", err=True)
        raise SystemExit(2) from err
    except (OSError, TOMLKitError) as err:
        raise click.ClickException(f"{overrides.name}: {err}") from err


if __name__ == "__main__":
    main()
