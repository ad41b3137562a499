"""Guards against hosts that disagree on the hash of a flow or the wire id of a name."""

import pytest

from redwingswitch._internal.models.identifiers import FlowKey, flow_hash, wire_id

BASE = FlowKey(6, b"\x0a\x00\x00\x01", 40000, b"\x0a\x01\x00\x01", 443)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("protocol", 17),
        ("caller_address", b"\x0a\x00\x00\x02"),
        ("caller_port", 40001),
        ("service_address", b"\x0a\x01\x00\x02"),
        ("service_port", 80),
    ],
)
def test_every_field_changes_the_flow_hash(field, value):
    assert flow_hash(BASE._replace(**{field: value})) != flow_hash(BASE)


def test_hashes_are_equal_across_processes_and_versions():
    # Fixed values: with another hash function, hosts would disagree during a rolling upgrade.
    assert flow_hash(BASE) == 17037756641047640083 >> 16
    assert wire_id("job-1") == 2058209010
