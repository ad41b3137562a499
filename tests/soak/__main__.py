"""Run the soak: ``python -m tests.soak --seeds=1-50 --seconds=20 --hosts=4``."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import fire

from tests.soak.faults import choose_actions
from tests.soak.regressions import REGRESSIONS
from tests.soak.run import SoakResult, run_seed


def main(
    seeds: str = "1",
    seconds: float = 20.0,
    hosts: int = 4,
    logs: str = "",
    regressions: bool = False,
) -> None:
    """Run one seed or a range of seeds in sequence.

    Args:
        seeds: a seed, or the first and the last one as FIRST-LAST.
        seconds: how long faults are injected.
        hosts: number of processes of the program.
        logs: directory for the logs of the hosts.
        regressions: run the seeds of tests/soak/regressions.py instead.

    """
    first, _, last = str(seeds).partition("-")
    chosen = [
        (seed, seconds, choose_actions(seed)) for seed in range(int(first), int(last or first) + 1)
    ]
    if regressions:
        chosen = [(case.seed, case.seconds, case.actions) for case in REGRESSIONS]
    failed: list[SoakResult] = []
    for seed, length_s, actions in chosen:
        folder = Path(logs or tempfile.mkdtemp(prefix="soak-")) / f"seed-{seed}"
        folder.mkdir(parents=True)
        result = asyncio.run(
            run_seed(seed, seconds=length_s, hosts=hosts, folder=folder, actions=actions)
        )
        print(result.summary(), flush=True)
        for line in result.violations:
            print(f"    {line}", flush=True)
        if result.violations:
            failed.append(result)
    if failed:
        sys.exit(f"{len(failed)} seeds failed: {', '.join(str(r.seed) for r in failed)}")


if __name__ == "__main__":
    fire.Fire(main)
