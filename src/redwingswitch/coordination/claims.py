"""Claims on ids, so that at most one process acts on each id."""

from __future__ import annotations

from collections.abc import Mapping

from redwingswitch._internal.decisions.requests.claims import (
    Claimant,
    ClaimHolder,
    ClaimState,
    WitnessRegister,
)
from redwingswitch._internal.decisions.requests.host_sets import (
    CLAIM_RETENTION_MS,
    DeclaredHostSets,
    witnesses,
)
from redwingswitch._internal.models.configuration import (
    Configuration,
    DeclaredEntryHost,
    ServerState,
)
from redwingswitch._internal.models.messages import ClaimDecision, ClaimReply, ClaimRequest

__all__ = [
    "CLAIM_RETENTION_MS",
    "ClaimDecision",
    "ClaimHolder",
    "ClaimHostSets",
    "ClaimReply",
    "ClaimRequest",
    "ClaimState",
    "Claimant",
    "WitnessRegister",
    "witnesses",
]


class ClaimHostSets(DeclaredHostSets):
    """The declared hosts from which witnesses are chosen; tracks changes of the declared hosts."""

    def declare(self, *, revision: int, hosts: Mapping[str, str], now_ms: int) -> None:
        """Declare the hosts with their failure domains; only a newer revision applies."""
        entries = tuple(_entry(host, domain) for host, domain in hosts.items())
        configuration = Configuration(
            revision=revision,
            digest="",
            failure_domains=(),
            services=(),
            entry_hosts=entries,
            changes=(),
        )
        self.apply_configuration(configuration, now_ms)


def _entry(host: str, failure_domain: str) -> DeclaredEntryHost:
    return DeclaredEntryHost(
        name=host,
        failure_domain=failure_domain,
        address="",
        peer_port=0,
        data_port=0,
        request_port=0,
        admin_port=0,
        public_key="",
        state=ServerState.ACTIVE,
    )
