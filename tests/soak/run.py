"""Run the soak with one seed."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from tests.soak.faults import ACTIONS, Action, inject_faults, start_server_in_slow_start
from tests.soak.processes import PROGRAM
from tests.soak.site import SoakSite


class SoakResult(NamedTuple):
    """Result of a run."""

    seed: int
    violations: tuple[str, ...]
    check_count: int
    attempts: int
    served: int
    folder: Path

    def summary(self) -> str:
        """Return a summary of one line."""
        state = "BROKEN" if self.violations else "ok"
        return (
            f"seed {self.seed}: {state}, {self.check_count} checks, {self.served} of "
            f"{self.attempts} served, logs in {self.folder}"
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
    """Inject the faults of a seed, then kill and restart all hosts, then stop them."""
    site = SoakSite(
        hosts=hosts,
        folder=folder,
        seed=seed,
        program=program,
        limits_slow_start=start_server_in_slow_start in actions,
    )
    try:
        await site.start()
        await inject_faults(site, seconds=seconds, actions=actions)
        await site.check_recovery()
        await site.check_stop()
    finally:
        await site.close()
    return SoakResult(
        seed=seed,
        violations=tuple(site.invariants.violations),
        check_count=site.invariants.check_count,
        attempts=site.attempts,
        served=site.served,
        folder=folder,
    )
