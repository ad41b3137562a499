"""``redwingswitch-standin demo`` and ``steering_demo``: a complete deployment in one process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from random import Random

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.platform.standins.demo import SteeringDemo
from redwingswitch._internal.standins import demo_checks
from redwingswitch._internal.standins.demo import Demo
from redwingswitch._internal.utils.clocks import MonotonicClock
from redwingswitch._internal.utils.logs import configure_logging

RUN_TIMEOUT_S = 58.0


def run(*, seed: int, steering: bool) -> int:
    """Run a demo; return INVARIANT_BROKEN when an invariant is violated or the demo times out.

    With ``steering``, the demo runs steering hosts, for platforms whose packets carry a cookie.
    """
    configure_logging(level="error")
    try:
        checks = asyncio.run(_run(seed, steering))
    except TimeoutError:
        print(f"the demo did not end within {RUN_TIMEOUT_S:.0f} s")
        return status_codes.INVARIANT_BROKEN
    print(demo_checks.render(checks))
    passed = demo_checks.all_passed(checks)
    print("all invariants held" if passed else "an invariant was broken")
    return status_codes.SUCCESS if passed else status_codes.INVARIANT_BROKEN


async def _run(seed: int, steering: bool) -> list[demo_checks.Check]:
    async with asyncio.timeout(RUN_TIMEOUT_S):
        return await _run_demo(Random(seed), steering)


def _run_demo(random_source: Random, steering: bool) -> Awaitable[list[demo_checks.Check]]:
    if steering:
        return SteeringDemo(random_source=random_source).run()
    return Demo(clock=MonotonicClock(), random_source=random_source).run()
