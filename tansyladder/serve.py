"""The real node: start, signals, exit code. It imports nothing that only tools need."""

from __future__ import annotations

import os
import signal
import sys
import threading
from pathlib import Path

# Bytes of each thread's stack. Little of it is touched: on days of 37 and of 330 descriptors the node took
# 9 and 13 MB, so a standing connection with its thread costs some 27 KB.
STACK = 256 * 1024
SWITCH = 0.001  # seconds a busy thread may hold the interpreter while another one waits
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def serve(settings: str | Path | None = None) -> int:
    """Run until a signal ends it, then drain; `settings`: the operator's own file, where there is one."""
    # Every thread inherits it; this one waits for them. It comes before the imports, which take a while: the
    # default action of a SIGHUP is to end the program. Until here the shell's trap of `run` ignores it.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    signal.signal(signal.SIGHUP, lambda *_: None)  # an ignored one might not even wait

    from tansyladder.config import operator_settings, platform
    from tansyladder.log import LogEvent, log, write_json
    from tansyladder.net.listener_handover import ListenerHandover
    from tansyladder.node.client_listener import ClientListener
    from tansyladder.node.discovery_client import DiscoveryClient
    from tansyladder.node.health_checker import HealthChecker
    from tansyladder.node.policy_runner import PolicyRunner
    from tansyladder.node.reload import Reloader

    try:
        told = platform.load(os.environ)
    except platform.ConfigError as err:
        print(f"event=bad_config why={err}", file=sys.stderr)
        return 2
    try:
        chosen = operator_settings.load(settings)
    except operator_settings.OptionsError as err:
        print(f"event=bad_settings why={err}", file=sys.stderr)
        return 2
    write_json(chosen.log.json)
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH)
    threading.excepthook = lambda args: log(LogEvent.INTERNAL_ERROR, why=repr(args.exc_value))
    core, name, keeping = PolicyRunner(told, chosen), "GW_LISTEN", None
    if chosen.store.enabled and not chosen.peers.enabled:
        from tansyladder.sessions.session_store import open_session_store

        keeping = core.endpoint_cache = open_session_store(chosen.store.directory, told.name)
        if keeping is not None:
            keeping.start()
    if chosen.resume.enabled:
        from tansyladder.sessions.resumption_handler import (
            ResumptionHandler,  # and the library of its cryptography
        )

        resuming = core.session_service = ResumptionHandler(core, keeping)
    try:
        front = ClientListener(core, ListenerHandover(told.listen, os.environ.get("TMPDIR")))
        name = "GW_OPERATOR"
        if told.operator is not None:
            from tansyladder.node.admin_server import AdminServer

            AdminServer(core, front, told.operator).start()
    except OSError as err:
        print(f"event=bad_config why={name}: {err}", file=sys.stderr)
        return 2
    if chosen.peers.enabled and chosen.resume.enabled:
        from tansyladder.cluster.bootstrap import join  # and all that only peers need

        try:
            join(core, resuming, os.environ.get("TMPDIR"))
        except (OSError, ValueError, platform.ConfigError) as err:
            print(f"event=bad_settings why=peers: {err}", file=sys.stderr)
            return 2
    core.start()
    discovery = DiscoveryClient(core)
    discovery.start()
    HealthChecker(core).start()
    front.start()
    reloader = Reloader(os.environ, core, discovery, settings)
    reloader.start()
    log(
        LogEvent.STARTED,
        name=told.name,
        members=len(told.known_endpoints.endpoints),
        sockets=told.limits.sockets,
    )
    log(LogEvent.SETTINGS_ABSENT, what=",".join(platform.absent_features(told)))
    while (got := signal.sigwait(SIGNALS)) == signal.SIGHUP:
        reloader.request_reload()  # read elsewhere: a SIGTERM meanwhile must not wait for a slow disk
    log(LogEvent.STOPPING, signal=signal.Signals(got).name)
    front.drain()
    if core.decision_permit is not None:
        core.decision_permit.leave()
    if core.endpoint_cache is not None:
        core.endpoint_cache.close()
    return 0
