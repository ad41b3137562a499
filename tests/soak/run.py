"""One run of the soak."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from tests.soak.faults import ACTIONS, Action, play
from tests.soak.processes import PROGRAM
from tests.soak.site import SoakSite


class SoakResult(NamedTuple):
    """What a run found."""

    seed: int
    broken: tuple[str, ...]
    judged: int
    asked: int
    served: int
    folder: Path

    def summary(self) -> str:
        """Return one line."""
        state = "BROKEN" if self.broken else "ok"
        return (
            f"seed {self.seed}: {state}, {self.judged} checks, {self.served} of {self.asked} "
            f"served, logs in {self.folder}"
        )


async def run_seed(
    seed: int,
    *,
    seconds: float,
    hosts: int,
    folder: Path,
    program: tuple[str, ...] = PROGRAM,
    actions: Sequence[Action] = ACTIONS,
) -> SoakResult:
    """Play the faults of a seed, then kill and start all hosts, then stop them."""
    site = SoakSite(hosts=hosts, folder=folder, seed=seed, program=program)
    try:
        await site.start()
        await play(site, seconds=seconds, actions=actions)
        await site.check_recovery()
        await site.check_stop()
    finally:
        await site.close()
    return SoakResult(
        seed=seed,
        broken=tuple(site.judge.broken),
        judged=site.judge.judged,
        asked=site.asked,
        served=site.served,
        folder=folder,
    )
