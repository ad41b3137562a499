"""``redwingswitch-standin calls``: send requests to the entry hosts of a configuration file."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from random import Random

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.models.configuration import Configuration
from redwingswitch._internal.standins.fabric import Fabric, FabricHost
from redwingswitch._internal.standins.request_caller import CallResult, RequestCaller
from redwingswitch._internal.standins.work import Work

MAX_REQUESTS = 10_000
MAX_REQUESTS_IN_PROGRESS = 4
REQUEST_TIMEOUT_MS = 10_000


def run(*, file: str, service: str, count: int, service_ms: int, seed: int) -> int:
    """Send ``count`` requests of a service to random entry hosts and print their outcomes."""
    text = Path(file).read_text(encoding="utf-8")
    configuration = parse_configuration(text=text, file=file, revision=0, digest="")
    work = Work(service_ms=service_ms)
    results = asyncio.run(
        _send_requests(configuration, service, min(count, MAX_REQUESTS), work, Random(seed))
    )
    outcomes = Counter(result.outcome.value if result.outcome else "nothing" for result in results)
    for outcome, number in sorted(outcomes.items()):
        print(f"{outcome}: {number}")
    return (
        status_codes.SUCCESS if all(result.complete for result in results) else status_codes.ERROR
    )


async def _send_requests(
    configuration: Configuration, name: str, count: int, work: Work, random_source: Random
) -> list[CallResult]:
    idempotent = {service.name: service.idempotent for service in configuration.services}
    if name not in idempotent:
        raise RedwingswitchError(f"the file has no service {name!r}; name one of its services")
    fabric = Fabric(random_source=random_source)
    fabric.update_hosts(
        [
            FabricHost(host.name, host.address, host.data_port, host.request_port)
            for host in configuration.entry_hosts
        ]
    )
    caller = RequestCaller(address="127.0.0.1", fabric=fabric, random_source=random_source)
    semaphore = asyncio.Semaphore(MAX_REQUESTS_IN_PROGRESS)

    async def send_request() -> CallResult:
        async with semaphore:
            return await caller.call(
                service=name, work=work, idempotent=idempotent[name], timeout_ms=REQUEST_TIMEOUT_MS
            )

    results = await asyncio.gather(*(send_request() for _ in range(count)))
    caller.close()
    return results
