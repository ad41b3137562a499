"""``redwingswitch-steer``: run one steering daemon until it is told to stop."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.daemon.steering_daemon import SteeringDaemon
from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.platform.http_connection import HttpConnection
from redwingswitch._internal.platform.packets import PlatformPacketCodec
from redwingswitch._internal.platform.store import PlatformStore
from redwingswitch._internal.steering_settings import SteeringSettings, read_steering_settings
from redwingswitch._internal.utils.clocks import MonotonicClock
from redwingswitch._internal.utils.logs import start_logging


def run(*, settings_file: str) -> int:
    """Run the daemon until it is stopped; return the exit status.

    Raises InvalidInputGroup for bad settings and RedwingswitchError for a taken port.
    """
    settings = read_steering_settings(Path(settings_file))
    start_logging(level=settings.log_level)
    try:
        asyncio.run(_run(settings))
    except OSError as error:
        raise RedwingswitchError(
            f"cannot start: {error}; free the port or change the settings"
        ) from error
    return status_codes.SUCCESS


async def _run(settings: SteeringSettings) -> None:
    connection = HttpConnection(address=settings.store.address, port=settings.store.port)
    daemon = SteeringDaemon(
        settings=settings,
        store=PlatformStore(connection=connection, timeout_ms=settings.store_timeout_ms),
        codec=PlatformPacketCodec(),
        clock=MonotonicClock(),
        random_source=random.SystemRandom(),
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, daemon.request_stop)
    loop.add_signal_handler(signal.SIGINT, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await daemon.run()
