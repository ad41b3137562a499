"""Helpers for tests on a real event loop; they wait for events instead of fixed times."""

import asyncio

# Fails a test that hangs; no other result depends on this limit.
HANG_LIMIT_S = 30.0


def run(coroutine):
    """Run a coroutine to completion and return its result."""

    async def limited():
        async with asyncio.timeout(HANG_LIMIT_S):
            return await coroutine

    return asyncio.run(limited())


class Recorder:
    """A callback whose calls can be awaited, in order."""

    def __init__(self):
        self._calls = asyncio.Queue()

    def __call__(self, *arguments):
        self._calls.put_nowait(arguments[0] if len(arguments) == 1 else arguments)

    async def next(self):
        return await self._calls.get()

    @property
    def empty(self):
        return self._calls.empty()


async def wait_until(predicate):
    """Run the event loop until the predicate holds."""
    while not predicate():
        await asyncio.sleep(0.005)
