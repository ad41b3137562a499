"""Checks of the demo's measurements against the invariants."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from redwingswitch._internal.models.requests import Outcome
from redwingswitch._internal.standins.backend_server import BackendServerStandin
from redwingswitch._internal.standins.request_caller import CallResult
from redwingswitch._internal.standins.stream_caller import FlowResult

# The targets of section 1.4 of docs/design.md, and the bounds of section 1.2.
MAX_BROKEN_RATIO = 0.001
MAX_IN_FORCE_MS = 9_000


class Check(NamedTuple):
    """One line of the summary; ``passed`` is None for a value without a bound."""

    text: str
    value: str
    passed: bool | None


def flow_checks(results: Sequence[FlowResult]) -> list[Check]:
    """Return the checks of the flows."""
    opened = [result for result in results if result.opened]
    broken = sum(result.broken for result in opened)
    ratio = broken / len(opened) if opened else 1.0
    return [
        Check("flows opened", f"{len(opened)} of {len(results)}", None),
        Check("broken flows", str(broken), ratio < MAX_BROKEN_RATIO),
    ]


def spliced_check(completed: Counter[bool]) -> Check:
    """Return the check of the connections through the TCP listener of the stopped host."""
    text = f"{completed[True]} whole, {completed[False]} cut off"
    return Check("spliced connections", text, completed[True] > 0 and completed[False] == 0)


def server_checks(servers: Iterable[BackendServerStandin]) -> list[Check]:
    """Return the checks of the backend servers."""
    servers = list(servers)
    packets = sum(server.tunnel.wrong_service_packets for server in servers)
    requests = sum(server.requests.wrong_service_requests for server in servers)
    return [
        Check("packets for another service", str(packets), packets == 0),
        Check("requests for another service", str(requests), requests == 0),
    ]


def request_checks(
    results: Sequence[CallResult], servers: Iterable[BackendServerStandin]
) -> list[Check]:
    """Return the checks of the requests: the caller's results against the servers' runs."""
    runs: Counter[bytes] = Counter()
    for server in servers:
        runs.update(server.requests.runs)
    outcomes = Counter(str(result.outcome or "no answer") for result in results)
    non_idempotent = [result for result in results if not result.idempotent]
    repeated = sum(runs[result.request_id] > 1 for result in non_idempotent)
    contradicted = sum(_contradicts(result, runs) for result in results)
    incomplete = sum(
        result.outcome is Outcome.ANSWERED and not result.complete for result in results
    )
    answered = outcomes[Outcome.ANSWERED.value]
    return [
        Check("requests by outcome", _format_counts(outcomes), answered > 0),
        Check("repeated non-idempotent requests", str(repeated), repeated == 0),
        Check("outcomes that contradict the runs", str(contradicted), contradicted == 0),
        Check("answers not whole", str(incomplete), incomplete == 0),
    ]


def in_force_check(in_force_ms: int | None) -> Check:
    """Return a check of how soon an accepted revision was in force on every host."""
    if in_force_ms is None:
        return Check("revision in force everywhere", "never", False)
    return Check(
        "revision in force everywhere", f"{in_force_ms} ms", in_force_ms <= MAX_IN_FORCE_MS
    )


def render(checks: Sequence[Check]) -> str:
    """Return the summary, one line for each check."""
    width = max(len(check.text) for check in checks)
    labels = {True: "held", False: "BROKEN", None: ""}
    lines = [
        f"{check.text:<{width}}  {check.value:<40}  {labels[check.passed]}" for check in checks
    ]
    return "\n".join(line.rstrip() for line in lines)


def all_passed(checks: Sequence[Check]) -> bool:
    """Return whether no check failed."""
    return all(check.passed is not False for check in checks)


def _contradicts(result: CallResult, runs: Counter[bytes]) -> bool:
    if result.outcome is Outcome.NOT_RUN:
        return runs[result.request_id] > 0
    if result.outcome is Outcome.ANSWERED:
        return runs[result.request_id] == 0
    return False


def _format_counts(outcomes: Counter[str]) -> str:
    return ", ".join(f"{count} {outcome}" for outcome, count in sorted(outcomes.items()))
