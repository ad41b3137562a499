"""Guards against invalid files that pass the check, and findings with a wrong line or key."""

import pytest

from redwingswitch._internal.configuration import check
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.identifiers import wire_id
from tests.lib.operator_files import VALID_FILE, line_of


def parse(text):
    return parse_configuration(text=text, file="file.toml", revision=7, digest="d")


def findings_of(text):
    with pytest.raises(InvalidInputGroup) as caught:
        parse(text)
    return [error.finding for error in caught.value.exceptions]


def test_a_valid_file_keeps_its_values_and_defaults():
    configuration = parse(VALID_FILE)
    service = configuration.services[0]
    assert configuration.revision == 7
    assert [s.name for s in service.backend_servers] == ["job-1", "job-2"]
    assert service.backend_servers[1].state is ServerState.DRAINING
    assert (service.idle_limit_ms, service.listen_port) == (900_000, 8443)
    assert (service.backend_servers[0].slots, service.backend_servers[0].connection_limit) == (
        2,
        2000,
    )


# Text to replace (its first occurrence), replacement, key path, part of the problem, and line.
INVALID_FILES = [
    ('name = "job-1"', "name = 5", "backend_servers[0].name", "an integer found", 37),
    ('name = "job-1"', 'name = "job 1"', "backend_servers[0].name", "is not a name", 37),
    ('name = "job-1"', 'name = ""', "backend_servers[0].name", "is not a name", 37),
    ("port = 443\n", "port = true\n", "services[0].port", "true or false found", 32),
    ("port = 443\n", "port = 0\n", "services[0].port", "out of bounds", 32),
    ("port = 443\n", "port = 65536\n", "services[0].port", "out of bounds", 32),
    ("port = 443\n", "", "services[0].port", "missing key", 29),
    ("port = 443\n", "port = 443\nprot = 1\n", "services[0].prot", "unknown key", 33),
    ("link_cost_ms = 5", "link_cost_ms = -1", "failure_domains[0].link_cost_ms", "bounds", 4),
    (
        "link_cost_ms = 5",
        "link_cost_ms = 1.5",
        "failure_domains[0].link_cost_ms",
        "a number found",
        4,
    ),
    ("expected_service_ms = 50", "idle_limit_s = 0", "services[0].idle_limit_s", "bounds", 34),
    (
        "expected_service_ms = 50",
        'expected_service_ms = 50\nsize_class = "huge"',
        "services[0].size_class",
        "'huge' is unknown",
        35,
    ),
    (
        "expected_service_ms = 50",
        '[[services]]\nname = "photos"\naddress = "10.1.0.1"\nport = 443',
        "services[1].port",
        "10.1.0.1:443 is also services[0].port",
        37,
    ),
    (
        "admin_port = 7401",
        f'admin_port = 7401\npublic_key = "{"k" * 40}"\n[[entry_hosts]]\npublic_key = "{"k" * 40}"',
        "entry_hosts[1].public_key",
        "the key is also entry_hosts[0].public_key",
        21,
    ),
    ('service = "job-board"', "service = 2001-01-01", "backend_servers[0].service", "date", 38),
    (
        "expected_service_ms = 50",
        "objectives = 1",
        "services[0].objectives",
        "an integer found",
        34,
    ),
    (
        "expected_service_ms = 50",
        "  [services.objectives]\n  broken_flows_ratio = 2",
        "services[0].objectives.broken_flows_ratio",
        "2 is out of bounds",
        35,
    ),
    (
        "expected_service_ms = 50",
        "  [services.objectives]\n  broken_ratio = 0.1",
        "services[0].objectives.broken_ratio",
        "unknown key",
        35,
    ),
    (
        "expected_service_ms = 50",
        "takes_streams = false\nlisten_port = 8443",
        "(syntax)",
        "Cannot overwrite",
        35,
    ),
    (
        "listen_port = 8443",
        "takes_streams = 'no'",
        "services[0].takes_streams",
        "a string found",
        33,
    ),
    (
        "listen_port = 8443",
        "takes_streams = false\ntakes_requests = false",
        "services[0].takes_streams",
        "takes nothing",
        33,
    ),
    (
        "listen_port = 8443",
        "takes_streams = false\nlisten_port = 8443",
        "services[0].listen_port",
        "needs streams",
        34,
    ),
    (
        "listen_port = 8443",
        "listen_port = 7101",
        "services[0].listen_port",
        "tcp 127.0.0.1:7101 is also entry_hosts[0].peer_port",
        33,
    ),
    (
        'address = "127.0.0.2"',
        'address = "127.0.0.1"',
        "entry_hosts[1].peer_port",
        "tcp 127.0.0.1:7101 is also entry_hosts[0].peer_port",
        24,
    ),
    (
        'address = "127.0.0.2"\npeer_port = 7101\ndata_port = 7201\nrequest_port = 7301\n'
        "admin_port = 7401",
        'address = "127.0.0.1"\npeer_port = 1\ndata_port = 2\nrequest_port = 3\nadmin_port = 4',
        "services[0].listen_port",
        "tcp 127.0.0.1:8443 is needed by two entry hosts",
        33,
    ),
    ("data_port = 7201", "data_port = 7301", "entry_hosts[0].request_port", "udp", 17),
    (
        'address = "127.0.1.2"',
        'address = "127.0.1.1"',
        "backend_servers[1].tunnel_port",
        "udp 127.0.1.1:8101 is also backend_servers[0].tunnel_port",
        51,
    ),
    ('address = "10.1.0.1"', 'address = "10.1.0"', "services[0].address", "not an IPv4", 31),
    ('address = "10.1.0.1"', 'address = "::1"', "services[0].address", "not an IPv4", 31),
    (
        'address = "127.0.0.1"',
        'address = "0.0.0.0"',
        "entry_hosts[0].address",
        "not the address of one host",
        14,
    ),
    (
        'address = "127.0.0.1"',
        'address = "10.0.0.1"',
        "entry_hosts[0].public_key",
        "not a loopback address",
        11,
    ),
    ('address = "127.0.0.1"', 'address = "host"', "entry_hosts[0].address", "not an IPv4", 14),
    (
        "admin_port = 7401",
        'admin_port = 7401\npublic_key = "short"',
        "entry_hosts[0].public_key",
        "not a CURVE key",
        19,
    ),
    (
        "admin_port = 7401",
        'admin_port = 7401\nstate = "draining"',
        "entry_hosts[0].state",
        "'draining' is unknown",
        19,
    ),
    (
        'service = "job-board"',
        'service = "job-bord"',
        "backend_servers[0].service",
        "'job-bord' is not declared",
        38,
    ),
    (
        'failure_domain = "hobart"',
        'failure_domain = "huon"',
        "entry_hosts[0].failure_domain",
        "'huon' is not declared",
        13,
    ),
    (
        'failure_domain = "bruny"',
        'failure_domain = "hobart"',
        "failure_domains[1].name",
        "has no entry host",
        7,
    ),
    ('name = "job-2"', 'name = "job-1"', "backend_servers[1].name", "is also", 47),
    ('name = "bruny"', 'name = "hobart"', "failure_domains[1].name", "is also", 7),
    ('name = "entry-2"', 'name = "entry-1"', "entry_hosts[1].name", "is also", 21),
    (
        "report_port = 8401",
        'report_port = 8401\nstate = "leaving"',
        "services[0]",
        "no active backend server",
        29,
    ),
    ("report_port = 8401", "slots = 0", "backend_servers[0].slots", "out of bounds", 44),
    ("[[services]]", "[[services", "(syntax)", "", 29),
    ("[[services]]", "[services]", "services", "a table found", 29),
    ("[[services]]", 'colour = "red"\n[[services]]', "entry_hosts[1].colour", "unknown", 29),
]


@pytest.mark.parametrize(("old", "new", "key_path", "problem", "line"), INVALID_FILES)
def test_a_bad_file_is_refused_with_its_place(old, new, key_path, problem, line):
    assert old in VALID_FILE
    findings = findings_of(VALID_FILE.replace(old, new, 1))
    found = [f for f in findings if f.key_path == key_path and problem in f.problem]
    assert [(f.file, f.line) for f in found] == [("file.toml", line)]


@pytest.mark.parametrize(
    "section", ["failure_domains", "entry_hosts", "services", "backend_servers"]
)
def test_an_empty_section_is_a_finding(section):
    for text in ("[[other]]\n", f"{section} = []\n"):
        assert f"no [[{section}]] is declared" in [f.problem for f in findings_of(text)]


def test_all_findings_are_reported_together_in_the_order_of_lines():
    text = VALID_FILE.replace("link_cost_ms = 5", "link_cost_ms = 'x'")
    text = text.replace("slots", "x").replace("tunnel_port = 8101", "tunnel_port = 0")
    lines = [f.line for f in findings_of(text)]
    assert len(lines) == 4
    assert lines == sorted(lines)


def test_lines_are_right_when_sections_are_interleaved_and_tables_are_inline():
    text = VALID_FILE + (
        '\n[[services]]\nname = "photos"\naddress = "10.1.0.2"\nport = 443\nlabel = """\n\n"""\n'
        "[[entry_hosts]]\nadmin_port = 1\n"
    )
    found = {f.key_path: f.line for f in findings_of(text)}
    assert found["services[1].label"] == line_of(text, "label")
    assert found["entry_hosts[2].name"] == line_of(text, "[[entry_hosts]]", 2)
    assert found["services[1]"] == line_of(text, "[[services]]", 1)
    inline = (
        'failure_domains = [\n  {name = "a", region = "b", link_cost_ms = 1},\n  {name = 3},\n]'
    )
    lines = {f.key_path: f.line for f in findings_of(inline)}
    assert lines["failure_domains[1].name"] == lines["failure_domains[1].region"] == 3


def test_names_that_share_a_wire_id_are_refused():
    # Found by trying numbers in sequence; 32-bit ids collide after about 80,000 names.
    pair = ("server-64035", "server-152913")
    assert wire_id(pair[0]) == wire_id(pair[1])
    text = VALID_FILE.replace('"job-1"', f'"{pair[0]}"').replace('"job-2"', f'"{pair[1]}"')
    problems = [f.problem for f in findings_of(text)]
    assert problems == [f"{pair[1]!r} has the wire id of {pair[0]!r}"]


def test_the_wire_id_that_means_none_is_refused(monkeypatch):
    identifiers = {"job-board": 0, "job-1": 0, "job-2": 1}
    monkeypatch.setattr(check, "wire_id", identifiers.get)
    found = [(f.key_path, f.problem) for f in findings_of(VALID_FILE)]
    assert found == [
        ("services[0].name", "'job-board' has the reserved wire id 0"),
        ("backend_servers[0].name", "'job-1' has the reserved wire id 0"),
    ]


def test_a_file_over_the_store_s_limit_is_refused():
    found = findings_of(VALID_FILE + "#" * 1_000_000)
    assert [f.key_path for f in found] == ["(whole file)"]
