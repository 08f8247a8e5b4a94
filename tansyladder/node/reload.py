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

MAX_LOGGED_KEYS_LENGTH = 300  # characters of the keys that changed, in the log


class Reloader:
    """Reads the file anew when asked; what is asked while it reads makes it read once more."""

    def __init__(
        self,
        environ: Mapping[str, str],
        runner: PolicyRunner,
        discovery: DiscoveryClient,
        settings: str | Path | None = None,
    ) -> None:
        """`settings`: the operator's file, where one was named at the start."""
        self._environ, self._runner, self._discovery, self._settings = environ, runner, discovery, settings
        self._running_config, self._running_options = runner.config, runner.options
        self._requested = threading.Event()

    def start(self) -> None:
        threading.Thread(target=self._run, name="reload", daemon=True).start()

    def request_reload(self) -> None:
        self._requested.set()

    def _run(self) -> None:
        while True:
            self._requested.wait()
            self._requested.clear()  # before the file is read: a later signal may mean a newer one
            if self._runner.lifecycle.state is NodeState.DRAINING:
                return  # nothing changes any more
            self.reload_now()

    def reload_now(self) -> None:
        """Read the file now, and put it in force, or leave all as it was."""
        runner = self._runner
        try:
            config, changed_keys, ignored_keys = reload(self._environ, self._running_config)
            options = load(self._settings)
        except (ConfigError, OptionsError) as err:
            log(LogEvent.RELOAD_FAILED, why=err)
            runner.metrics.record_reload(applied=False)
            return
        except Exception as err:  # whatever a file may hold, the next one must still be read
            log(LogEvent.INTERNAL_ERROR, why=repr(err))
            runner.metrics.record_reload(applied=False)
            return
        ignored_keys += restart_required_changes(self._running_options, options)
        if ignored_keys:
            log(LogEvent.RELOAD_IGNORED, keys=",".join(ignored_keys))
        self._running_config = config
        runner.reconfigure(config)
        if runner.session_service is not None:
            runner.session_service.rotate_keys(options.resume)
        switched = self._discovery.switch_address(config.discovery)
        runner.metrics.record_reload(applied=True)
        shown = ",".join(changed_keys)[:MAX_LOGGED_KEYS_LENGTH]
        log(LogEvent.RELOADED, discovery="{}:{}".format(*config.discovery), switched=switched, keys=shown)
