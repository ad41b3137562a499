"""Configuration files for tests."""

VALID_FILE = """\
[[failure_domains]]
name = "hobart"
region = "south"
link_cost_ms = 5

[[failure_domains]]
name = "bruny"
region = "south"
link_cost_ms = 5

[[entry_hosts]]
name = "entry-1"
failure_domain = "hobart"
address = "127.0.0.1"
peer_port = 7101
data_port = 7201
request_port = 7301
admin_port = 7401

[[entry_hosts]]
name = "entry-2"
failure_domain = "bruny"
address = "127.0.0.2"
peer_port = 7101
data_port = 7201
request_port = 7301
admin_port = 7401

[[services]]
name = "job-board"
address = "10.1.0.1"
port = 443
listen_port = 8443
expected_service_ms = 50

[[backend_servers]]
name = "job-1"
service = "job-board"
failure_domain = "hobart"
address = "127.0.1.1"
tunnel_port = 8101
stream_port = 8201
request_port = 8301
report_port = 8401

[[backend_servers]]
name = "job-2"
service = "job-board"
failure_domain = "bruny"
address = "127.0.1.2"
tunnel_port = 8101
stream_port = 8201
request_port = 8301
report_port = 8401
state = "draining"
"""


def line_of(text: str, fragment: str, occurrence: int = 0) -> int:
    """Return the line, from 1, on which ``fragment`` occurs for the n-th time (from 0)."""
    lines = [n for n, line in enumerate(text.splitlines(), start=1) if fragment in line]
    return lines[occurrence]
