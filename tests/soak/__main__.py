"""Run the soak: ``python -m tests.soak --seeds=1-50 --seconds=20 --hosts=4``."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import fire

from tests.soak.run import SoakResult, run_seed


def main(seeds: str = "1", seconds: float = 20.0, hosts: int = 4, logs: str = "") -> None:
    """Run one seed or a range of seeds, one after the other.

    Args:
        seeds: a seed, or the first and the last one as FIRST-LAST.
        seconds: how long faults are drawn.
        hosts: how many processes of the program run.
        logs: a folder that keeps the logs of the hosts.

    """
    first, _, last = str(seeds).partition("-")
    failed: list[SoakResult] = []
    for seed in range(int(first), int(last or first) + 1):
        folder = Path(logs or tempfile.mkdtemp(prefix="soak-")) / f"seed-{seed}"
        folder.mkdir(parents=True)
        result = asyncio.run(run_seed(seed, seconds=seconds, hosts=hosts, folder=folder))
        print(result.summary(), flush=True)
        for line in result.broken:
            print(f"    {line}", flush=True)
        if result.broken:
            failed.append(result)
    if failed:
        sys.exit(f"{len(failed)} seeds failed: {', '.join(str(r.seed) for r in failed)}")


if __name__ == "__main__":
    fire.Fire(main)
