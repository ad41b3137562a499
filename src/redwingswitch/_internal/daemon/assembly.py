"""Functions that connect the entry daemon to the decision modules and the configuration parser."""

from __future__ import annotations

from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.daemon.entry import MakeEntryHost
from redwingswitch._internal.daemon.parameters import EntryHostDecisions
from redwingswitch._internal.decisions.entry_host import EntryHost
from redwingswitch._internal.models.configuration import Configuration, Document
from redwingswitch._internal.models.members import Seed
from redwingswitch._internal.ports import RandomSource
from redwingswitch._internal.settings import SeedSettings
from redwingswitch._internal.utils.clocks import wall_clock_ms

INCARNATION_RANDOM_BITS = 16


def new_incarnation(random_source: RandomSource) -> int:
    """Return a number that differs from those of this host's earlier starts."""
    random_bits = random_source.getrandbits(INCARNATION_RANDOM_BITS)
    return wall_clock_ms() << INCARNATION_RANDOM_BITS | random_bits


def parse_document(document: Document) -> Configuration:
    """Return the configuration of an accepted document; raise InvalidInputGroup for errors."""
    return parse_configuration(
        text=document["text"],
        file=f"revision {document['revision']}",
        revision=document["revision"],
        digest=document["digest"],
    )


def entry_host_factory(
    *, host: str, failure_domain: str, random_source: RandomSource
) -> MakeEntryHost:
    """Return a function that creates the decision object once a host starts.

    ``daemon.entry.MakeEntryHost`` lists the arguments of the function.
    """

    def make_entry_host(
        incarnation: int, abstain_until_ms: int, seeds: tuple[SeedSettings, ...], now_ms: int
    ) -> EntryHostDecisions:
        entry_host = EntryHost(
            host=host,
            failure_domain=failure_domain,
            incarnation=incarnation,
            abstain_until_ms=abstain_until_ms,
            random_source=random_source,
        )
        members = [Seed(seed.host, seed.failure_domain) for seed in seeds]
        entry_host.membership.set_seeds(members, now_ms)
        return entry_host

    return make_entry_host
