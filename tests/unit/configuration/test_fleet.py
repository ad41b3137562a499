"""Guards against a revision reported as in force in a domain where a host may lack it."""

import pytest

from redwingswitch._internal.configuration.fleet import (
    admin_endpoints,
    known_hosts,
    rollout_by_domain,
)
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.status import FleetStatus
from tests.lib.operator_files import VALID_FILE
from tests.lib.stepped_store import host_status

CONFIGURATION = parse_configuration(text=VALID_FILE, file="", revision=1, digest="")


def host_report(host, revision, digest="d", **peers):
    return host_status(
        host, revision, digest, [(h, *peer_status) for h, peer_status in peers.items()]
    )


# Reports, and whether revision 5 is completely in force in hobart (entry-1) and bruny (entry-2).
CASES = [
    ([], [False, False]),
    ([host_report("entry-1", 5), host_report("entry-2", 6, "later")], [True, True]),
    ([host_report("entry-1", 4), host_report("entry-2", 5, "other")], [False, False]),
    ([host_report("entry-1", 5, **{"entry-2": ("alive", 5)})], [True, True]),
    ([host_report("entry-1", 5, **{"entry-2": ("alive", 4)})], [True, False]),
    ([host_report("entry-1", 5, **{"entry-2": ("suspected", 5)})], [True, False]),
    ([host_report("entry-1", 5, **{"entry-2": ("dead", 5)})], [True, False]),
]


@pytest.mark.parametrize(("statuses", "complete"), CASES)
def test_a_domain_is_complete_only_without_a_host_that_may_lack_the_revision(statuses, complete):
    fleet_status = FleetStatus(tuple(statuses), ())
    hosts = known_hosts(CONFIGURATION, fleet_status)
    domains = rollout_by_domain(hosts, fleet_status, revision=5, digest="d")
    assert [domain.complete for domain in domains] == complete


@pytest.mark.parametrize(
    ("states", "leaving", "complete"),
    [
        (["dead", "dead"], False, True),
        (["dead", "alive"], False, False),
        (["dead", "suspected"], False, False),
        (["suspected", "suspected"], False, False),
        (["suspected", "suspected"], True, True),
    ],
)
def test_a_host_is_dead_only_when_all_peers_report_it_dead(states, leaving, complete):
    # entry-3 is in the failure domain of entry-2, which has the revision.
    third = CONFIGURATION.entry_hosts[1]._replace(name="entry-3", admin_port=7402)
    if leaving:
        third = third._replace(state=ServerState.LEAVING)
    configuration = CONFIGURATION._replace(entry_hosts=(*CONFIGURATION.entry_hosts, third))
    statuses = [
        host_report(host, 5, **{"entry-3": (state, 4)})
        for host, state in zip(("entry-1", "entry-2"), states, strict=True)
    ]
    fleet_status = FleetStatus(tuple(statuses), ())
    hosts = known_hosts(configuration, fleet_status)
    domains = rollout_by_domain(hosts, fleet_status, revision=5, digest="d")
    assert [domain.complete for domain in domains] == [True, complete]


def test_active_hosts_of_every_domain_are_queried_up_to_the_limit():
    first, second = CONFIGURATION.entry_hosts
    more = [first._replace(admin_port=7500 + n) for n in range(20)]
    leaving = first._replace(state=ServerState.LEAVING)
    configuration = CONFIGURATION._replace(entry_hosts=(leaving, *more, second))
    expected = [f"127.0.0.1:{7500 + n}" for n in range(8)]
    assert list(admin_endpoints(configuration)) == [*expected, "127.0.0.2:7401"]
