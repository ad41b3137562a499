"""Case 11: long after a cut between zones has healed, a machine resets a flow of a live backend."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "tools-3"))

from deployment import CannotRun, LongFlow, Site, main  # noqa: E402

CUT_S = 5.5
# More than StableWindowMs.
CALM_S = 8.0
# A wait in the queue and the longest work of a request of the site's progress-feed.
SLOW_WORK_S = 0.26


async def open_flows(site: Site, route: dict, machine, backend, count: int) -> list[LongFlow]:
    """Open flows through a machine until ``count`` are at a backend; then close the others."""
    found: list[LongFlow] = []
    others: list[LongFlow] = []
    for number in range(80):
        flow = LongFlow(site.clients[number % len(site.clients)], route, machine)
        name = f"first-{number}"
        if not await flow.open() or await flow.request(name, 2.0) != "answered":
            raise CannotRun(f"{name} was not served")
        if any(run[1] == name and run[2] is backend for run in site.runs):
            found.append(flow)
        else:
            others.append(flow)
        if len(found) == count:
            for each in others:
                each.close()
            return found
    raise CannotRun(f"no {count} flows at {backend.server_id}")


async def case(site: Site, has_trouble: bool) -> bool:
    await site.begin({"huon": 2, "derwent": 1})
    route = site.route("progress-feed", 8443, "jobboard", kind="idempotent")
    await site.configure([route])
    for number in (1, 2):
        await site.backend(f"i-{number:08x}", "jobboard", "huon", number)
    far = await site.backend("i-00000003", "jobboard", "derwent", 3)
    await site.start_machines()
    await asyncio.sleep(5)
    machine = site.machines[0]
    flows = await open_flows(site, route, machine, far, 5)
    idle, others = flows[0], flows[1:]
    if has_trouble:
        far.cut_off = {m.name for m in site.machines if m.zone != far.zone}
        site.record.add(f"cut between {far.zone} and the other zones")
    cut = site.record.now()
    # New flows come all the time, during the cut and after it.
    site.traffic(4, cut + CUT_S + CALM_S, [machine], route, "new")
    await asyncio.gather(*(f.request(f"in-the-cut-{n}", 2.0) for n, f in enumerate(others)))
    await site.until(cut + CUT_S)
    if has_trouble:
        far.cut_off = set()
        site.record.add("the cut has healed")
    await site.until(cut + CUT_S + CALM_S)
    far.work_s = SLOW_WORK_S
    end = await idle.request("long-after-the-cut", 2.0)
    is_broken = end.startswith("reset by edge")
    if is_broken:
        site.record.add(f"FLOW: the flow at {far.server_id}, which lives, was {end}")
    await site.traffic_ended()
    return is_broken


sys.exit(main(case, FOLDER / "record.txt"))
