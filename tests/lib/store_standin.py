"""The store stand-in and its adapter for tests, on a clock that the test moves."""

import asyncio
from contextlib import asynccontextmanager

from redwingswitch._internal.network.store_http import HttpConfigStore
from redwingswitch._internal.standins.store import EtcdGatewayStandin

LONG_TIMEOUT_MS = 10_000
SCENARIO_LIMIT_S = 30


def run(scenario):
    """Run a scenario; it fails when it exceeds the time limit."""
    asyncio.run(asyncio.wait_for(scenario(), SCENARIO_LIMIT_S))


class ManualClock:
    """A clock that a test advances explicitly."""

    def __init__(self):
        self.milliseconds = 0

    def now_ms(self):
        return self.milliseconds


@asynccontextmanager
async def running_store(
    *, timeout_ms=LONG_TIMEOUT_MS, watch_duration_ms=LONG_TIMEOUT_MS, extra_endpoints=()
):
    """Yield a started stand-in and a store adapter, which asks ``extra_endpoints`` first."""
    standin = EtcdGatewayStandin(clock=ManualClock())
    standin.start()
    endpoint = f"http://127.0.0.1:{standin.port}"
    store = HttpConfigStore(
        endpoints=[*extra_endpoints, endpoint],
        timeout_ms=timeout_ms,
        watch_duration_ms=watch_duration_ms,
    )
    try:
        yield standin, store
    finally:
        standin.faults.released.set()
        store.close()
        await standin.stop()
