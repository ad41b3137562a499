"""``redwingswitch-standin store``: run a simulated key-value service for tests and trials."""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress

from redwingswitch._internal.cli.status_codes import SUCCESS
from redwingswitch._internal.standins.store import EtcdGatewayStandin
from redwingswitch._internal.utils.clocks import MonotonicClock

DEFAULT_RUN_S = 600


def run(
    *,
    port: int,
    address: str = "127.0.0.1",
    seconds: int = DEFAULT_RUN_S,
    delay_ms: int = 0,
) -> int:
    """Serve the JSON gateway of the etcd v3 API on ``port`` for at most ``seconds``.

    Each call is delayed by ``delay_ms``. Tests control the stand-in with POST /standin/faults,
    /standin/snapshot, /standin/restore and /standin/expire-leases; GET /standin/calls returns the
    number of calls by kind.
    """
    asyncio.run(_serve(port=port, address=address, seconds=seconds, delay_ms=delay_ms))
    return SUCCESS


async def _serve(*, port: int, address: str, seconds: int, delay_ms: int) -> None:
    standin = EtcdGatewayStandin(clock=MonotonicClock())
    standin.faults.delay_ms = delay_ms
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    standin.start(port=port, address=address)
    print(f"store stand-in: listening on http://{address}:{standin.port}", flush=True)
    with suppress(TimeoutError):
        await asyncio.wait_for(stopped.wait(), seconds)
    await standin.stop()
