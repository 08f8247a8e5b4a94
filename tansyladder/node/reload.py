"""A new configuration while the node runs: read whole in a thread of its own, then put in force."""

from __future__ import annotations

import threading
from collections.abc import Mapping
from pathlib import Path

from tansyladder.config.operator_settings import OptionsError, load, restart_required_changes
from tansyladder.config.platform import ConfigError, reload
from tansyladder.log import LogEvent, log
from tansyladder.node.discovery_client import DiscoveryClient
from tansyladder.node.lifecycle import NodeState
from tansyladder.node.policy_runner import PolicyRunner

MOST_KEYS = 300  # characters of the keys that changed, in the log


class Reloader:
    """Reads the file anew when asked; what is asked while it reads makes it read once more."""

    def __init__(
        self,
        environ: Mapping[str, str],
        core: PolicyRunner,
        discovery: DiscoveryClient,
        settings: str | Path | None = None,
    ) -> None:
        """`settings`: the operator's file, where one was named at the start."""
        self._environ, self._core, self._discovery, self._settings = environ, core, discovery, settings
        self._running, self._options = core.config, core.options
        self._asked = threading.Event()

    def start(self) -> None:
        threading.Thread(target=self._run, name="reload", daemon=True).start()

    def ask(self) -> None:
        self._asked.set()

    def _run(self) -> None:
        while True:
            self._asked.wait()
            self._asked.clear()  # before the file is read: a later signal may mean a newer one
            if self._core.lifecycle.phase is NodeState.DRAINING:
                return  # nothing changes any more
            self.read()

    def read(self) -> None:
        """Read the file now, and put it in force, or leave all as it was."""
        core = self._core
        try:
            told, keys, fixed = reload(self._environ, self._running)
            options = load(self._settings)
        except (ConfigError, OptionsError) as err:
            log(LogEvent.RELOAD_FAILED, why=err)
            core.metrics.file(applied=False)
            return
        except Exception as err:  # whatever a file may hold, the next one must still be read
            log(LogEvent.INTERNAL_ERROR, why=repr(err))
            core.metrics.file(applied=False)
            return
        fixed += restart_required_changes(self._options, options)
        if fixed:
            log(LogEvent.RELOAD_IGNORED, keys=",".join(fixed))
        self._running = told
        core.reconfigure(told)
        if core.session_service is not None:
            core.session_service.rotate_keys(options.resume)
        switched = self._discovery.switch(told.discovery)
        core.metrics.file(applied=True)
        shown = ",".join(keys)[:MOST_KEYS]
        log(LogEvent.RELOADED, discovery="{}:{}".format(*told.discovery), switched=switched, keys=shown)
