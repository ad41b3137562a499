"""Guards against wrong differences, and against undeclared changes that pass the check."""

import pytest

from redwingswitch._internal.configuration.declared_changes import check_declared_changes
from redwingswitch._internal.configuration.differences import diff_configurations
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.exceptions import InvalidInputGroup
from tests.lib.operator_files import VALID_FILE, line_of


def parse(text):
    return parse_configuration(text=text, file="file.toml", revision=1, digest="")


def change(action, target):
    return f'[[changes]]\naction = "{action}"\ntarget = "{target}"\nreason = "test"\n'


NEW_SERVICE = """
[[services]]
name = "photos"
address = "10.1.0.2"
port = 443
[[backend_servers]]
name = "photo-1"
service = "photos"
failure_domain = "hobart"
address = "127.0.1.3"
tunnel_port = 8101
stream_port = 8201
request_port = 8301
report_port = 8401
"""

# Text to replace, replacement, and the differences from the valid file.
CASES = [
    ("", "", []),
    ("port = 443", "port = 443  # comment", []),
    ('"draining"', '"active"', ["activate backend_servers.job-2 (state draining -> active)"]),
    ('"draining"', '"leaving"', ["leave backend_servers.job-2 (state draining -> leaving)"]),
    (
        'state = "draining"',
        'state = "active"\nslots = 3',
        [
            "activate backend_servers.job-2 (state draining -> active)",
            "alter backend_servers.job-2 (slots 2 -> 3)",
        ],
    ),
    ('"job-2"', '"job-3"', ["remove backend_servers.job-2", "add backend_servers.job-3"]),
    (
        "expected_service_ms = 50",
        "idempotent = true\n  [services.objectives]\n  failed_requests_ratio = 0.5",
        [
            "alter services.job-board (idempotent false -> true; "
            "objectives.failed_requests_ratio 0.01 -> 0.5)"
        ],
    ),
    (
        'state = "draining"\n',
        f'state = "draining"\n{NEW_SERVICE}',
        ["add services.photos", "add backend_servers.photo-1"],
    ),
    (
        'region = "south"',
        'region = "north"',
        ["alter failure_domains.hobart (region south -> north)"],
    ),
    (
        "admin_port = 7401",
        "admin_port = 7402",
        ["alter entry_hosts.entry-1 (admin_port 7401 -> 7402)"],
    ),
]


@pytest.mark.parametrize(("old", "new", "expected"), CASES)
def test_differences_and_their_declaration(old, new, expected):
    before = parse(VALID_FILE)
    text = VALID_FILE.replace(old, new, 1) if old else VALID_FILE
    differences = diff_configurations(before=before, after=parse(text))
    assert [str(d) for d in differences] == expected
    # Exactly the declared differences pass; one more or one less is a finding.
    declared = "".join(change(d.action.value, d.target) for d in differences)
    _check(before, text + declared, problems=[])
    if differences:
        partial = "".join(change(d.action.value, d.target) for d in differences[1:])
        unrelated = change("alter", "services.other")
        _check(before, text + partial + unrelated, problems=["undeclared", "no such difference"])


def _check(before, text, problems):
    after = parse(text)
    differences = diff_configurations(before=before, after=after)
    try:
        check_declared_changes(
            text=text, file="file.toml", configuration=after, differences=differences
        )
    except InvalidInputGroup as group:
        findings = [e.finding for e in group.exceptions]
        assert len(findings) == len(problems)
        for finding, expected_problem in zip(findings, problems, strict=True):
            assert expected_problem in finding.problem
        assert findings[-1].line == line_of(text, "[[changes]]", text.count("[[changes]]") - 1)
    else:
        assert problems == []


def test_the_first_file_adds_every_entry():
    differences = diff_configurations(before=None, after=parse(VALID_FILE))
    assert [d.action for d in differences] == ["add"] * 7
