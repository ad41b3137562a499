"""Guards against events that the daemon logs and the report calls unknown."""

import ast
from pathlib import Path

import redwingswitch
from redwingswitch._internal.report.known_events import KNOWN_EVENTS

SOURCES = Path(redwingswitch.__file__).parent / "_internal"
# The modules of redwingswitch-steer that log with ``EventLog`` or with a plain ``Logger``.
EVENT_LOGS = {"self._event_log"}
PLAIN_LOGS = {
    "daemon/steering_daemon.py",
    "network/list_messages.py",
    "platform/entries.py",
    "platform/store.py",
}


def logged_events() -> set[str]:
    found = set()
    for path in SOURCES.rglob("*.py"):
        is_plain = str(path.relative_to(SOURCES)) in PLAIN_LOGS
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            if node.func.attr not in ("info", "warning", "error"):
                continue
            target = ast.unparse(node.func.value)
            if target in EVENT_LOGS and isinstance(node.args[0], ast.Constant):
                found.add(node.args[0].value)
            elif is_plain and target == "log":
                found.add(first_text(node.args[0]))
    return found


def first_text(argument: ast.expr) -> str:
    """Return the name of the event: the text before the first field."""
    value = argument.values[0] if isinstance(argument, ast.JoinedStr) else argument
    assert isinstance(value, ast.Constant)
    text = str(value.value)
    words = text.split()
    fields = [word for word in words if "=" in word]
    if words and fields and words[0] == fields[0]:
        return words[0].partition("=")[0]
    return text.partition(fields[0])[0].strip() if fields else text


def test_all_events_in_the_sources_are_known() -> None:
    events = logged_events()
    assert {"server avoided", "started", "readiness", "entry unusable"} <= events
    known = {event for events_of_part in KNOWN_EVENTS.values() for event in events_of_part}
    assert events - known == set()
