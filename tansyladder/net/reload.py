"""A new configuration while the node runs: read whole in a thread of its own, then put in force."""

from __future__ import annotations

import threading
from collections.abc import Mapping
from pathlib import Path

from tansyladder.config import ConfigError, reload
from tansyladder.log import log
from tansyladder.net.core import Core
from tansyladder.net.discovery import Discovery
from tansyladder.options import OptionsError, changed, load


class Reloader:
    """Reads the file anew when asked; what is asked while it reads makes it read once more."""

    def __init__(
        self, environ: Mapping[str, str], core: Core, discovery: Discovery, settings: str | Path | None = None
    ) -> None:
        """`settings`: the operator's file, where one was named at the start."""
        self._environ, self._core, self._discovery, self._settings = environ, core, discovery, settings
        self._running, self._options = core.config, core.options
        self._asked = threading.Event()
        self._lock = threading.Lock()
        self._stopped = False

    def start(self) -> None:
        threading.Thread(target=self._run, name="reload", daemon=True).start()

    def ask(self) -> None:
        self._asked.set()

    def stop(self) -> None:
        """From now on nothing changes: the node drains."""
        with self._lock:
            self._stopped = True

    def _run(self) -> None:
        while True:
            self._asked.wait()
            self._asked.clear()  # before the file is read: a later signal may mean a newer one
            try:
                told, fixed = reload(self._environ, self._running)
                options = load(self._settings)
            except (ConfigError, OptionsError) as err:
                log("reload_failed", why=err)
                continue
            except Exception as err:  # whatever a file may hold, the next one must still be read
                log("internal_error", why=repr(err))
                continue
            fixed += changed(self._options, options)
            if fixed:
                log("reload_ignored", keys=",".join(fixed))
            with self._lock:
                if self._stopped:
                    return
                self._running = told
                if self._core.resuming is not None:
                    self._core.resuming.rotate(options.resume)
                switched = self._discovery.switch(told.discovery)
            log("reloaded", discovery=f"{told.discovery[0]}:{told.discovery[1]}", switched=switched)
