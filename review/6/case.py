"""A new reader keeps an old configuration: the script form of the day beside it."""

from __future__ import annotations

import asyncio
import importlib.util
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
TOOLS = FOLDER.parent / "tools-2"
sys.dont_write_bytecode = True
_spec = importlib.util.spec_from_file_location("review_site", TOOLS / "site.py")
review_site = importlib.util.module_from_spec(_spec)
sys.modules["review_site"] = review_site
_spec.loader.exec_module(review_site)

KEPT, DROPPED = 443, 444
FREEZE_S = 1.6
# After the begin of the freeze. The store answers 60 times slower than its 4 ms.
SLOW_FROM_S, SLOW_UNTIL_S = 0.8, 2.3
CHANGE_S = 0.4
SLOW_ANSWER_S = 0.24
ROUNDS = 8


async def run_dropped_route(site: review_site.Site, host: review_site.Host) -> bool:
    """Return whether a host lets a request to the dropped route run."""
    flow = site.create_flow(("198.18.0.1", DROPPED))
    flow.fixed_host = host
    if not await flow.open():
        return False
    answer = await flow.request("progress 19")
    calm_s = site.record.now_s() - host.disturbed_s
    site.record.line(
        f"client: through {host.name}, undisturbed for {calm_s:.1f} s, the dropped route: {answer!r}"
    )
    return answer is not None and calm_s >= review_site.BOUNDS["StableWindowMs"] / 1_000


async def freeze_round(site: review_site.Site, version: int, has_trouble: bool) -> float:
    """Remove a route while the reader is frozen; return when the change was acknowledged."""
    reader = site.reader("huon")
    if has_trouble:
        reader.send_signal(signal.SIGSTOP)
    await asyncio.sleep(CHANGE_S)
    site.configure(version, [review_site.route(KEPT, "jobboard")])
    acknowledged_s = site.record.now_s()
    await asyncio.sleep(SLOW_FROM_S - CHANGE_S)
    if has_trouble:
        site.store.answer_s = SLOW_ANSWER_S
    await asyncio.sleep(FREEZE_S - SLOW_FROM_S)
    if has_trouble:
        reader.send_signal(signal.SIGCONT)
    await asyncio.sleep(SLOW_UNTIL_S - FREEZE_S)
    site.store.answer_s = review_site.STORE_ANSWER_S
    return acknowledged_s


async def case(site: review_site.Site, has_trouble: bool) -> int:
    both = [review_site.route(KEPT, "jobboard"), review_site.route(DROPPED, "jobboard")]
    site.configure(1, both)
    for number in (0xA1, 0xB2, 0xC3):
        site.add_backend(number, "jobboard", "huon")
    await site.start_hosts()
    if not await site.wait_for_rotation(site.hosts):
        return review_site.COULD_NOT_RUN
    for number in range(ROUNDS):
        await asyncio.sleep(4.5)
        acknowledged_s = await freeze_round(site, 2 * number + 2, has_trouble)
        # The store was not disturbed for as long, and the hosts are in touch.
        await asyncio.sleep(review_site.BOUNDS["StableWindowMs"] / 1_000 + 0.2)
        site.record.line(f"client: {site.record.now_s() - acknowledged_s:.1f} s after the change")
        ran = [await run_dropped_route(site, host) for host in site.hosts]
        if any(ran):
            return review_site.BROKEN
        site.configure(2 * number + 3, both)
    return review_site.HELD


review_site.run_case(FOLDER, {"huon": 3}, case, limit_s=112.0)
