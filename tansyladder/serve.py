"""Runs a node: start, signals, exit code. It imports nothing that only tools need."""

from __future__ import annotations

import os
import signal
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tansyladder.config.operator_settings import Options
    from tansyladder.config.platform import Config
    from tansyladder.node.client_listener import ClientListener
    from tansyladder.node.policy_runner import PolicyRunner
    from tansyladder.node.reload import Reloader
    from tansyladder.sessions.resumption_handler import ResumptionHandler
    from tansyladder.sessions.session_store import SessionStore

# Bytes of each thread's stack. Little of it is touched: on days of 37 and of 330 descriptors the node took
# 9 and 13 MB, so an established connection with its thread costs some 27 KB.
THREAD_STACK_BYTES = 256 * 1024
SWITCH_INTERVAL_SECONDS = 0.001  # that a busy thread may hold the interpreter while another one waits
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
EXIT_BAD_CONFIGURATION = 2


class StartError(Exception):
    """The node can't start with what it was given."""


class BadConfigError(StartError):
    """The fault is in the platform's configuration."""


class BadSettingsError(StartError):
    """The fault is in the operator's settings."""


def serve(options_path: str | Path | None = None) -> int:
    """Run until a signal ends it, then drain; `options_path`: of the operator's settings, where there are."""
    # Every thread inherits it; this one waits for them. It comes before the imports, which take a while: the
    # default action of a SIGHUP is to end the program. Until here the shell's trap of `run` ignores it.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    signal.signal(signal.SIGHUP, lambda *_: None)  # an ignored one might not even wait

    from tansyladder.log import LogEvent, log

    try:
        config = _load_config()
        options = _load_options(options_path)
        _prepare_process(options)
        runner = _build_runner(config, options)
        resumption_handler = _enable_resumption(runner, _open_store(runner))
        listener = _open_listeners(config, runner)
        _join_cluster(runner, resumption_handler)
    except BadConfigError as err:
        print(f"event=bad_config why={err}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except BadSettingsError as err:
        print(f"event=bad_settings why={err}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    reloader = _start(runner, listener, options_path)
    _log_started(config)
    while (received := signal.sigwait(SIGNALS)) == signal.SIGHUP:
        reloader.request_reload()  # read elsewhere: a SIGTERM meanwhile must not wait for a slow disk
    log(LogEvent.STOPPING, signal=signal.Signals(received).name)
    _stop(runner, listener)
    return 0


def _load_config() -> Config:
    from tansyladder.config import platform
    from tansyladder.config.errors import ConfigError

    try:
        return platform.load(os.environ)
    except ConfigError as err:
        raise BadConfigError(str(err)) from err


def _load_options(path: str | Path | None) -> Options:
    from tansyladder.config import operator_settings
    from tansyladder.config.errors import OptionsError

    try:
        return operator_settings.load(path)
    except OptionsError as err:
        raise BadSettingsError(str(err)) from err


def _prepare_process(options: Options) -> None:
    """Set what holds for all threads, before the first one starts."""
    from tansyladder.log import LogEvent, log, use_json_format

    use_json_format(options.log.json)
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    threading.excepthook = lambda args: log(LogEvent.INTERNAL_ERROR, why=repr(args.exc_value))


def _build_runner(config: Config, options: Options) -> PolicyRunner:
    from tansyladder.node.policy_runner import PolicyRunner

    return PolicyRunner(config, options)


def _open_store(runner: PolicyRunner) -> SessionStore | None:
    """The store, where the operator's settings switch it on; with peers it is opened by who joins them."""
    options = runner.options
    if not options.store.enabled or options.peers.enabled:
        return None
    from tansyladder.sessions.session_store import open_session_store

    store = runner.endpoint_cache = open_session_store(options.store.directory, runner.config.name)
    if store is not None:
        store.start()
    return store


def _enable_resumption(runner: PolicyRunner, store: SessionStore | None) -> ResumptionHandler | None:
    """What resumes sessions, where the operator's settings switch it on."""
    if not runner.options.resume.enabled:
        return None
    # Only now, as it loads the library of its cryptography.
    from tansyladder.sessions.resumption_handler import ResumptionHandler
    from tansyladder.sessions.session_registry import SessionRegistry

    handler = runner.session_service = ResumptionHandler(runner, SessionRegistry(runner, store))
    return handler


def _open_listeners(config: Config, runner: PolicyRunner) -> ClientListener:
    """The clients' listener, and the operators' where the configuration names one, which answers from now."""
    from tansyladder.net.listener_handover import ListenerHandover
    from tansyladder.node.client_listener import ClientListener

    try:
        listener = ClientListener(runner, ListenerHandover(config.listen, os.environ.get("TMPDIR")))
    except OSError as err:
        raise BadConfigError(f"GW_LISTEN: {err}") from err
    if config.operator is not None:
        from tansyladder.node.admin_server import AdminServer

        try:
            AdminServer(runner, listener, config.operator).start()
        except OSError as err:
            raise BadConfigError(f"GW_OPERATOR: {err}") from err
    return listener


def _join_cluster(runner: PolicyRunner, resumption_handler: ResumptionHandler | None) -> None:
    """Join the nodes that take over each other's sessions, where the operator's settings name them."""
    if not runner.options.peers.enabled or resumption_handler is None:
        return  # the settings' check has made sure that peers have resumption
    from tansyladder.cluster.bootstrap import join_cluster  # and all that only peers need
    from tansyladder.config.errors import ConfigError

    try:
        join_cluster(runner, resumption_handler, os.environ.get("TMPDIR"))
    except (OSError, ValueError, ConfigError) as err:
        raise BadSettingsError(f"peers: {err}") from err


def _start(runner: PolicyRunner, listener: ClientListener, options_path: str | Path | None) -> Reloader:
    """Start the threads, clients last; returns what reloads the configuration."""
    from tansyladder.node.discovery_client import DiscoveryClient
    from tansyladder.node.health_checker import HealthChecker

    runner.start()
    discovery = DiscoveryClient(runner)
    discovery.start()
    HealthChecker(runner).start()
    listener.start()
    from tansyladder.node.reload import Reloader  # only now: clients are accepted meanwhile

    reloader = Reloader(os.environ, runner, discovery, options_path)
    reloader.start()
    return reloader


def _log_started(config: Config) -> None:
    from tansyladder.config.platform import absent_features
    from tansyladder.log import LogEvent, log

    known_count = len(config.known_endpoints.endpoints)
    log(LogEvent.STARTED, name=config.name, members=known_count, sockets=config.limits.sockets)
    log(LogEvent.SETTINGS_ABSENT, what=",".join(absent_features(config)))


def _stop(runner: PolicyRunner, listener: ClientListener) -> None:
    """Drain, then leave the cluster and close the store."""
    listener.drain()
    if runner.decision_permit is not None:
        runner.decision_permit.leave()
    if runner.endpoint_cache is not None:
        runner.endpoint_cache.close()
