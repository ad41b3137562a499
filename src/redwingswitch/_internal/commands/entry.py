"""``redwingswitch-entry``: run one entry host until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

import zmq
from logbook import Logger

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.daemon.assembly import (
    entry_host_factory,
    new_incarnation,
    parse_document,
)
from redwingswitch._internal.daemon.entry import EntryDaemon
from redwingswitch._internal.daemon.parameters import DaemonParameters
from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.network.host_list_http import HttpHostList
from redwingswitch._internal.network.peers import PeerKeys
from redwingswitch._internal.network.store_http import HttpConfigStore
from redwingswitch._internal.settings import Settings, read_settings
from redwingswitch._internal.utils.clocks import MonotonicClock
from redwingswitch._internal.utils.logs import configure_logging
from redwingswitch._internal.utils.signals import handle_signals

log = Logger("daemon")


def run(*, settings_file: str) -> int:
    """Run the daemon until it is stopped; return the exit status.

    Raises InvalidInputGroup for invalid settings and RedwingswitchError for a port in use.
    """
    settings = read_settings(Path(settings_file))
    configure_logging(level=settings.log_level)
    try:
        asyncio.run(_run(settings))
    except OSError as error:
        raise RedwingswitchError(
            f"cannot start: {error}; free the port or change the settings"
        ) from error
    return status_codes.SUCCESS


async def _run(settings: Settings) -> None:
    random_source = random.SystemRandom()
    daemon = EntryDaemon(
        parameters=daemon_parameters(settings),
        incarnation=new_incarnation(random_source),
        clock=MonotonicClock(),
        random_source=random_source,
        store=HttpConfigStore(
            endpoints=settings.store_endpoints, timeout_ms=settings.store_timeout_ms
        ),
        host_list=HttpHostList(url=settings.host_list_url) if settings.host_list_url else None,
        parse_document=parse_document,
        make_entry_host=entry_host_factory(
            host=settings.host,
            failure_domain=settings.failure_domain,
            random_source=random_source,
        ),
    )
    handlers = {
        signal.SIGTERM: daemon.request_stop,
        signal.SIGINT: daemon.request_stop,
        # Settings are read only at start. The default action of SIGHUP would end the process and
        # break its flows.
        signal.SIGHUP: lambda: log.info("SIGHUP changes nothing; restart to read the settings"),
    }
    with handle_signals(handlers):
        await daemon.start(seeds=settings.seeds)
        await daemon.wait_stopped()


def daemon_parameters(settings: Settings) -> DaemonParameters:
    """Return the daemon parameters from the settings."""
    keys = PeerKeys()
    if settings.secret_key:
        public_key = zmq.curve_public(settings.secret_key.encode("ascii")).decode("ascii")
        keys = PeerKeys(public_key, settings.secret_key)
    return DaemonParameters(
        host=settings.host,
        failure_domain=settings.failure_domain,
        address=settings.address,
        peer_port=settings.peer_port,
        data_port=settings.data_port,
        request_port=settings.request_port,
        admin_port=settings.admin_port,
        keys=keys,
        allow_plaintext=settings.allow_plaintext,
        pinned_keys=settings.peers,
        grace_period_ms=settings.grace_period_ms,
    )
