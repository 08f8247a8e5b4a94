"""A new configuration while the node runs: read whole in a thread of its own, then put in force."""

from __future__ import annotations

import threading
from collections.abc import Mapping

from tansyladder.config import Config, ConfigError, reload
from tansyladder.log import log
from tansyladder.net.discovery import Discovery


class Reloader:
    """Reads the file anew when asked; what is asked while it reads makes it read once more."""

    def __init__(self, environ: Mapping[str, str], running: Config, discovery: Discovery) -> None:
        self._environ, self._running, self._discovery = environ, running, discovery
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
            except ConfigError as err:
                log("reload_failed", why=err)
                continue
            except Exception as err:  # whatever a file may hold, the next one must still be read
                log("internal_error", why=repr(err))
                continue
            if fixed:
                log("reload_ignored", keys=",".join(fixed))
            with self._lock:
                if self._stopped:
                    return
                self._running = told
                switched = self._discovery.switch(told.discovery)
            log("reloaded", discovery=f"{told.discovery[0]}:{told.discovery[1]}", switched=switched)
