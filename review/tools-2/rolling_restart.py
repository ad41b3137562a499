"""Rounds of a rolling restart of one zone, with a change that comes while one host is away."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from review_site import BROKEN, COULD_NOT_RUN, HELD, Site

ROUNDS = 13
LAST_ROUND_S = 100.0
NEW_FLOWS = 80
NEW_FLOW_INTERVAL_S = 0.02
REQUESTS = 10
# Between two rounds; the third host was then undisturbed for more than 4 s when flows are opened.
PAUSE_S = 2.4
REQUEST_INTERVAL_S = 0.1
WORK_MS = 5
# From the signal, a host takes 1.5 s to stop while its clients are moved.
CHANGE_BEFORE_EXIT_S = 1.2
EXIT_S = 0.4


async def use_flow(site: Site, port: int, counts: dict[str, int]) -> None:
    """Open a flow and send requests on it; each packet goes where the routers send it then."""
    flow = site.create_flow(("198.18.0.1", port))
    if not await flow.open():
        counts["not opened"] += 1
        return
    counts["opened"] += 1
    first = flow.host()
    for number in range(REQUESTS):
        host = flow.host()
        if await flow.request(f"progress {number} {WORK_MS}") is None:
            site.record.line(
                f"client: flow {flow.port}, opened through {first.name if first else 'none'}, has"
                f" no answer to request {number} through {host.name if host else 'none'}"
            )
            return
        await asyncio.sleep(REQUEST_INTERVAL_S)
    counts["all answered"] += 1


async def roll(
    site: Site,
    has_trouble: bool,
    *,
    begin_round: Callable[[int], None] = lambda _number: None,
    before_exit: Callable[[int], None] = lambda _number: None,
    after_exit: Callable[[int], int],
) -> int:
    """Restart two hosts in turn, round after round, until an open flow is reset.

    ``begin_round`` is called 3.6 s before the first host stops, ``before_exit`` shortly before.
    ``after_exit`` makes a change when the first host has stopped, and returns the port that clients
    then use.
    """
    await site.start_hosts()
    if not await site.wait_for_rotation(site.hosts):
        return COULD_NOT_RUN
    await asyncio.sleep(2.0)
    for number in range(ROUNDS):
        if site.record.now_s() > LAST_ROUND_S:
            break
        counts = {"opened": 0, "not opened": 0, "all answered": 0}
        first = site.reader("huon")
        second = next(host for host in site.hosts if host is not first)
        begin_round(number)
        await asyncio.sleep(PAUSE_S)
        if has_trouble:
            first.send_signal(signal.SIGTERM)
        await asyncio.sleep(CHANGE_BEFORE_EXIT_S)
        before_exit(number)
        if has_trouble:
            await first.wait_for_exit()
            await first.start()
            second.send_signal(signal.SIGTERM)
        else:
            await asyncio.sleep(EXIT_S)
        await asyncio.sleep(0.05)
        port = after_exit(number)
        tasks = []
        for _ in range(NEW_FLOWS):
            tasks.append(asyncio.create_task(use_flow(site, port, counts)))
            await asyncio.sleep(NEW_FLOW_INTERVAL_S)
        await asyncio.gather(*tasks)
        site.record.line(f"round {number + 1}: {counts}")
        if site.broken_flows():
            return BROKEN
        if has_trouble:
            await second.wait_for_exit()
            await second.start()
        if not await site.wait_for_rotation(site.hosts):
            return COULD_NOT_RUN
    return HELD
