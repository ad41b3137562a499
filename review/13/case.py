"""Case 13: the path between a reader and the store flaps; followers trust a list of the past."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "tools-3"))

from deployment import Site, main  # noqa: E402

FIRST_CUT_S = 1.4
UP_S = 0.6
SECOND_CUT_S = 4.0


async def case(site: Site, has_trouble: bool) -> bool:
    await site.begin({"huon": 3, "hobart": 2})
    route = site.route("signoff", 8443, "jobboard")
    await site.configure([route])
    servers = [
        await site.backend(f"i-{number:08x}", "jobboard", "huon", number) for number in range(1, 5)
    ]
    await site.start_machines()
    await asyncio.sleep(6)
    reader = site.reader("huon")
    others = [m for m in site.machines if m.zone == "huon" and m is not reader]
    site.record.add(f"the reader of huon is {reader.name}")
    start = site.record.now()
    site.traffic(60, start + 11, others, route, "r")
    await site.until(start + 2)
    # An ordinary change; its notice to the reader is under way when the cut begins.
    if has_trouble:
        reader.path.cut()
        site.record.add(f"cut between {reader.name} and the store")
    cut = site.record.now()
    await site.backend("i-000000aa", "jobboard", "huon", 100)
    await site.until(cut + 0.05)
    leaving = servers[0]
    acknowledged = await leaving.drain()
    if has_trouble:
        await site.until(cut + FIRST_CUT_S)
        reader.path.heal()
        site.record.add("the cut has healed")
        await site.until(cut + FIRST_CUT_S + UP_S)
        reader.path.cut()
        site.record.add(f"cut between {reader.name} and the store")
        await site.until(cut + FIRST_CUT_S + UP_S + SECOND_CUT_S)
        reader.path.heal()
        site.record.add("the cut has healed")
    await site.traffic_ended()
    return site.report_late(leaving, acknowledged)


sys.exit(main(case, FOLDER / "record.txt"))
