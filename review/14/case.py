"""Case 14: after a change of the settings to a fraction, the daemons do not start again."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "tools-3"))

from deployment import Site, main  # noqa: E402

RESTART_DELAY_S = 0.5
RECOVERY_S = 12.0
OWN_ENDS = 3


async def keep_running(site: Site, machine, ends: dict[str, int]) -> None:
    """Start a daemon again a short time after it has ended, as the platform does."""
    while True:
        status = await machine.process.wait()
        site.record.add(f"{machine.name}: the process has ended with status {status}")
        ends[machine.name] = ends.get(machine.name, 0) + 1
        await asyncio.sleep(RESTART_DELAY_S)
        await machine.start()


async def case(site: Site, has_trouble: bool) -> bool:
    await site.begin({"huon": 2, "hobart": 1})
    route = site.route("signoff", 8443, "jobboard")
    await site.configure([route])
    for number in (1, 2):
        await site.backend(f"i-{number:08x}", "jobboard", "huon", number)
    await site.start_machines()
    await asyncio.sleep(2)
    ends: dict[str, int] = {}
    watchers = [asyncio.create_task(keep_running(site, m, ends)) for m in site.machines]
    # The settings files change, and each process is told so.
    site.bounds["GraceS"] = 5.5 if has_trouble else 5
    site.record.add(f"GraceS is {site.bounds['GraceS']} from now on")
    for machine in site.machines:
        machine.write_settings()
        machine.signal(signal.SIGHUP)
    await asyncio.sleep(2)
    # Planned work: the machines are stopped and started in turn.
    for machine in site.machines:
        machine.signal(signal.SIGTERM)
        await asyncio.sleep(4)
    back = site.record.now()
    site.record.add("all machines were stopped and started once")
    await site.until(back + RECOVERY_S)
    ready = [m.name for m in site.machines if await m.is_ready()]
    site.record.add(f"ready machines: {', '.join(ready) or 'none'}")
    site.traffic(20, site.record.now() + 2, site.machines, route, "r")
    await site.traffic_ended()
    served = sum(end == "answered" for end in site.ends.values())
    site.record.add(f"{served} of {len(site.ends)} requests were answered")
    for watcher in watchers:
        watcher.cancel()
    # One end of each process is the planned stop.
    own = {name: count - 1 for name, count in ends.items()}
    site.record.add(f"processes that ended by themselves: {own}")
    is_broken = served == 0 or sum(count >= OWN_ENDS for count in own.values()) >= 2
    if is_broken:
        site.record.add("Fault: the program does not start")
    return is_broken


sys.exit(main(case, FOLDER / "record.txt"))
