"""Guards against commands that change the store after an error or exit with a wrong status."""

import json

import pytest

from redwingswitch._internal.cli.ctl import main
from redwingswitch._internal.cli.status_codes import (
    CONFLICT,
    ERROR,
    INVALID_INPUT,
    NOT_IN_FORCE,
    STORE_UNAVAILABLE,
    SUCCESS,
)
from redwingswitch._internal.commands import standin_store
from redwingswitch._internal.configuration.document import (
    CONFIGURATION_KEY,
    decode_document,
    encode_document,
    make_document,
    text_digest,
)
from redwingswitch._internal.standins.store import CallKind
from redwingswitch._internal.standins.store_state import Put
from tests.lib.command_site import running_site
from tests.lib.operator_files import VALID_FILE
from tests.lib.stepped_store import host_status

SECOND_FILE = VALID_FILE.replace("port = 443", "port = 444")


def test_the_store_stand_in_says_where_it_listens_and_ends(capsys):
    assert standin_store.run(port=0, seconds=0) == SUCCESS
    assert "listening on http://127.0.0.1:" in capsys.readouterr().out


class BrokenPipe:
    """A standard output whose reader has exited."""

    def __init__(self, output):
        self.fileno = output.fileno

    def write(self, text):
        raise BrokenPipeError


class Console:
    """Runs commands and captures their output.

    ``site`` has the store and one entry host, whose status the test sets; see ``tests.lib.sites``.
    """

    def __init__(self, *, site, path, capsys):
        self.site, self.path, self.capsys = site, path, capsys
        self.report(0, "")

    def __call__(self, command, *options, text=None, hosts=True):
        arguments = [command]
        if text is not None:
            self.path.write_text(text)
            arguments.append(str(self.path))
        if command != "check":
            arguments += ["--store", self.site.store]
        if hosts and command in ("plan", "apply", "status"):
            arguments += ["--hosts", self.site.hosts]
        with pytest.raises(SystemExit) as caught:
            main([*arguments, *options])
        captured = self.capsys.readouterr()
        self.out, self.err = captured.out, captured.err
        return caught.value.code

    def report(self, revision, text, **changes):
        members = [("entry-2", "alive", revision)]
        status = host_status("entry-1", revision, text_digest(text) if text else "", members)
        self.site.status = {**status, **changes}

    def entries(self):
        return self.site.run_in_server_thread(
            lambda: dict(self.site.standin.state.snapshot().entries)
        )


@pytest.fixture
def console(tmp_path, capsys):
    with running_site() as site:
        yield Console(site=site, path=tmp_path / "fleet.toml", capsys=capsys)


def test_a_file_is_checked_planned_applied_and_shown(console):
    assert console("check", text=VALID_FILE) == SUCCESS
    assert console("plan", text=VALID_FILE) == SUCCESS
    assert "add services.job-board" in console.out
    assert console("history") == SUCCESS
    assert "no file is accepted yet" in console.out
    assert console("apply", "--operator", "ann", text=VALID_FILE) == SUCCESS
    assert "accepted: revision 1" in console.out
    console.report(1, VALID_FILE)
    assert console("apply", "--wait", "--operator", "ben", text=VALID_FILE) == SUCCESS
    assert "unchanged: revision 1, applied by ann" in console.out
    assert "in force in hobart: entry-1" in console.out
    assert "in force in bruny: entry-2" in console.out
    assert console("apply", "--operator", "ben", text=SECOND_FILE) == SUCCESS
    assert console("show") == SUCCESS
    assert console.out.endswith(SECOND_FILE)
    assert console("show", "--revision", "1") == SUCCESS
    assert console.out.endswith(VALID_FILE)
    assert console("show", "--revision", "7") == ERROR
    assert console("history") == SUCCESS
    lines = console.out.splitlines()
    titles = [line.split() for line in lines if not line.startswith(" ")]
    assert [(title[1], title[3]) for title in titles] == [("2", "ben"), ("1", "ann")]
    assert lines[1] == "    alter services.job-board"
    assert all(len(line) <= 80 for line in lines)


def test_waiting_ends_when_a_failure_domain_does_not_follow(console):
    code = console("apply", "--wait", "--wait_limit_s", "0", text=VALID_FILE)
    assert code == NOT_IN_FORCE
    assert "accepted: revision 1" in console.out
    assert "NOT in force in hobart: behind entry-1" in console.out


# The file, the options, the fault of the store or host, the exit status, and part of the message.
REFUSAL_CASES = [
    (VALID_FILE.replace("444", "0"), [], "bad file", INVALID_INPUT, "is not declared"),
    (SECOND_FILE, ["--store", "store:1"], None, INVALID_INPUT, "--store"),
    (SECOND_FILE, ["--hosts", "entry-1"], None, INVALID_INPUT, "--hosts"),
    (SECOND_FILE, ["--wait_limit_s", "soon"], None, INVALID_INPUT, "--wait_limit_s"),
    (SECOND_FILE, ["--after", "soon"], None, INVALID_INPUT, "--after"),
    (SECOND_FILE, ["--after", "0"], None, CONFLICT, "was first: revision 1"),
    (SECOND_FILE, [], "down", STORE_UNAVAILABLE, "nothing was changed"),
    (SECOND_FILE, [], "archive lost", STORE_UNAVAILABLE, "nothing was applied"),
    (SECOND_FILE, [], "behind", CONFLICT, "entry-1 hold revision 9"),
    (SECOND_FILE, [], "silent", ERROR, "no entry host answered"),
    (SECOND_FILE, ["unexpected"], None, INVALID_INPUT, "Could not consume arg"),
]


@pytest.mark.parametrize("case", REFUSAL_CASES)
def test_a_refusal_changes_nothing_and_exits_with_its_status(console, case):
    text, options, fault, code, message = case
    assert console("apply", text=VALID_FILE) == SUCCESS
    console.report(1, VALID_FILE)
    before = console.entries()
    faults = console.site.standin.faults
    if fault == "bad file":
        text = text.replace('service = "job-board"', 'service = "none"')
    elif fault == "down":
        faults.down = True
    elif fault == "archive lost":
        faults.lose_before[CallKind.TXN] = 3
    elif fault == "behind":
        console.report(9, "other")
    elif fault == "silent":
        console.site.status = {}
    assert console("apply", *options, text=text) == code
    assert message in console.err
    assert "accepted: revision" not in console.out
    assert console.entries() == before


def test_the_loser_of_a_race_is_told_who_won(console):
    assert console("apply", text=VALID_FILE) == SUCCESS
    console.report(1, VALID_FILE)
    host_status_before = console.site.status

    def accept_competing_file():
        # The competing file is written after the store was read and before this apply writes.
        console.site.status = host_status_before
        state = console.site.standin.state
        state.transact([], [competing_write])
        return host_status_before

    first = decode_document(console.entries()[CONFIGURATION_KEY].value)
    document = make_document(
        text=SECOND_FILE, revision=2, apply_id="x", operator="ben", previous=first
    )
    competing_write = Put(CONFIGURATION_KEY, encode_document(document), 0)
    console.site.status = accept_competing_file
    third_file = VALID_FILE.replace("port = 443", "port = 445")
    assert console("apply", text=third_file) == CONFLICT
    assert "ben was first: revision 2" in console.err
    assert "alter services.job-board (port 444 -> 445)" in console.err


def test_a_reader_that_has_gone_ends_a_command_without_a_traceback(console, monkeypatch, tmp_path):
    assert console("apply", text=VALID_FILE) == SUCCESS
    with (tmp_path / "output").open("w") as output:
        monkeypatch.setattr("sys.stdout", BrokenPipe(output))
        with pytest.raises(SystemExit) as caught:
            main(["show", "--store", console.site.store])
    assert caught.value.code == ERROR


def test_status_shows_what_needs_attention(console):
    assert console("apply", "--operator", "ann", text=VALID_FILE) == SUCCESS
    servers = [
        {"name": "job-1", "state": "active", "ejected": True, "busy_slots": 1, "records": 0},
        {"name": "job-2", "state": "draining", "ejected": False, "busy_slots": 2, "records": 5},
    ]
    common_fields = {"service": "job-board", "failure_domain": "hobart", "open_connections": 7}
    console.report(
        1,
        VALID_FILE,
        members=[
            {"host": "entry-2", "failure_domain": "bruny", "state": "suspected", "revision": 0}
        ],
        servers=[{**server, **common_fields} for server in servers],
    )
    assert console("status") == NOT_IN_FORCE
    lines = console.out.splitlines()
    assert all(len(line) <= 80 for line in lines)
    table = {line.split()[0]: line.split()[1:] for line in lines if line}
    assert table["hobart"] == ["1", "of", "1"]
    assert table["bruny"] == ["0", "of", "1", "unknown:", "entry-2"]
    assert table["entry-2"] == ["-", "suspected", "by", "1", "peer(s),", "not", "known"]
    assert table["job-2"] == ["job-board", "draining", "7", "2", "5"]
    assert table["job-1"] == ["job-board", "entry-1"]
    assert console("status", "--json") == NOT_IN_FORCE
    assert json.loads(console.out)["ejected"][0]["ejected_by"] == ["entry-1"]


def test_status_shows_a_store_that_is_behind(console):
    assert console("apply", "--operator", "ann", text=VALID_FILE) == SUCCESS
    console.report(5, SECOND_FILE)
    assert console("status") == SUCCESS
    assert "THE STORE IS BEHIND: it holds revision 1" in console.out
    assert "ann" not in console.out


def test_status_shows_the_hosts_while_the_store_is_down(console):
    console.report(4, VALID_FILE)
    console.site.standin.faults.down = True
    assert console("status") == STORE_UNAVAILABLE
    assert "THE STORE DOES NOT ANSWER" in console.out
    assert "revision 4" in console.out
    assert console("status", hosts=False) == STORE_UNAVAILABLE
