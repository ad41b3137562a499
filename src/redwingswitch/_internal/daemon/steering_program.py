"""Assembles the steering daemon and runs it on an event loop."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
from pathlib import Path

from redwingswitch._internal.daemon.steering_daemon import SteeringDaemon
from redwingswitch._internal.platform.packets import PlatformPacketCodec
from redwingswitch._internal.platform.store import PlatformStore
from redwingswitch._internal.steering_settings import SteeringSettings
from redwingswitch._internal.utils.clocks import BootClock, MonotonicClock
from redwingswitch._internal.utils.event_log import NonBlockingStream
from redwingswitch._internal.utils.logs import configure_logging
from redwingswitch._internal.utils.signals import handle_signals


def serve(*, settings: SteeringSettings, settings_file: Path, bound_socket: socket.socket) -> None:
    """Run a steering daemon on a bound socket until it is stopped."""
    stream = NonBlockingStream(sys.stdout.fileno())
    configure_logging(level=settings.log_level, stream=stream)
    asyncio.run(_serve(settings, settings_file, bound_socket, stream))


async def _serve(
    settings: SteeringSettings,
    settings_file: Path,
    bound_socket: socket.socket,
    stream: NonBlockingStream,
) -> None:
    store = PlatformStore(
        address=settings.store.address,
        port=settings.store.port,
        timeout_ms=settings.store_timeout_ms,
        failure_domain=settings.failure_domain,
    )
    daemon = SteeringDaemon(
        settings=settings,
        settings_file=settings_file,
        store=store,
        codec=PlatformPacketCodec(),
        clock=MonotonicClock(),
        age_clock=BootClock(),
        random_source=random.SystemRandom(),
        bound_socket=bound_socket,
        log_stream=stream,
    )
    handlers = {
        signal.SIGTERM: daemon.request_stop,
        signal.SIGINT: daemon.request_stop,
        signal.SIGHUP: daemon.reload,
    }
    with handle_signals(handlers):
        await daemon.run()
