"""Case 12: long after an outage of the store, a follower still waits for its reader to recover."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "tools-3"))

from deployment import Site, main  # noqa: E402

OUTAGE_S = 4.5
CALM_S = 12.0
CUT_S = 5.5


async def case(site: Site, has_trouble: bool) -> bool:
    await site.begin({"huon": 2, "hobart": 2, "derwent": 2}, clients=6)
    route = site.route("signoff", 8443, "jobboard")
    await site.configure([route])
    servers = {
        zone: [
            await site.backend(f"i-{10 * row + number:08x}", "jobboard", zone, 10 * row + number)
            for number in (1, 2)
        ]
        for row, zone in enumerate(site.zones, 1)
    }
    await site.start_machines()
    await asyncio.sleep(5)
    if has_trouble:
        await site.store.go_down()
        site.record.add("the store is down: it answers 503")
    await asyncio.sleep(OUTAGE_S)
    if has_trouble:
        site.store.come_back()
        site.record.add("the store is back")
    await asyncio.sleep(CALM_S)
    # The cut strikes the reader of a zone whose other machine has not called the store since.
    zone = site.zones[0]
    for each in site.zones:
        reader = site.reader(each)
        others = [m for m in site.machines if m.zone == each and m is not reader]
        if all(m.path.was_refused for m in others):
            zone = each
            break
    reader = site.reader(zone)
    others = [m for m in site.machines if m.zone == zone and m is not reader]
    site.record.add(f"the reader of {zone} is {reader.name}")
    start = site.record.now()
    site.traffic(100, start + 8, others, route, "r")
    await site.until(start + 2)
    # An ordinary change, which the reader takes before the cut.
    await site.backend("i-000000aa", "jobboard", zone, 100)
    await asyncio.sleep(0.05)
    if has_trouble:
        reader.path.cut()
        site.record.add(f"cut between {reader.name} and the store")
    cut = site.record.now()
    leaving = servers[zone][0]
    acknowledged = await leaving.drain()
    await site.until(cut + CUT_S)
    if has_trouble:
        reader.path.heal()
        site.record.add("the cut has healed")
    await site.traffic_ended()
    return site.report_late(leaving, acknowledged)


sys.exit(main(case, FOLDER / "record.txt"))
