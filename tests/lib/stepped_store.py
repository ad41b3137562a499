"""A store, a fleet and operators whose calls wait until the test resumes them or fails them."""

from redwingswitch._internal.configuration.apply import ApplyRequest, apply, plan
from redwingswitch._internal.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from redwingswitch._internal.models.status import FleetStatus
from redwingswitch._internal.ports import StoredValue


class Step:
    """Suspend the caller until the test sends the fault of the call, or None for no fault."""

    def __init__(self, kind):
        self.kind = kind

    def __await__(self):
        return (yield self)


class SteppedStore:
    """A ``ConfigStore`` in memory; a restored snapshot reuses versions."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.late_writes = []

    async def get(self, key):
        if await Step("read") is not None:
            raise StoreUnavailableError("down")
        return self.entries.get(key)

    async def compare_and_swap(self, *, key, value, expected):
        fault = await Step("write")
        if fault == "down":
            raise StoreUnavailableError("down")
        if fault == "late":
            self.late_writes.append((key, value, expected))
        if fault in ("late", "lost_before"):
            raise StoreOutcomeUnknownError("no reply")
        version = self.swap(key, value, expected)
        if fault == "lost_after":
            raise StoreOutcomeUnknownError("no reply")
        return version

    def swap(self, key, value, expected):
        for name, version, expected_value in expected:
            stored = self.entries.get(name, StoredValue(None, 0))
            if stored.version != version or expected_value not in (None, stored.value):
                return None
        self.revision += 1
        self.entries[key] = StoredValue(value, self.revision)
        return self.revision


class SteppedFleet:
    """Entry hosts that report the state set by the test, unless ``reachable`` is false."""

    def __init__(self):
        self.reachable = True
        # The revision, digest and apply id that each host reports.
        self.hosts = {"entry-1": (0, "", ""), "entry-2": (0, "", "")}

    async def read(self, endpoints):
        if not self.reachable:
            return FleetStatus((), tuple(endpoints))
        statuses = [host_status(h, r, d, apply_id=a) for h, (r, d, a) in self.hosts.items()]
        return FleetStatus(tuple(statuses), ())

    def take(self, host, document):
        """Put a document in force on a host."""
        self.hosts[host] = document["revision"], document["digest"], document["apply_id"]

    @staticmethod
    def with_reports(*statuses):
        """Return a read function that returns fixed reports."""

        async def read(endpoints):
            return FleetStatus(statuses, ())

        return read


def host_status(host, revision, digest, members=(), apply_id=""):
    return {
        "host": host,
        "failure_domain": {"entry-1": "hobart"}.get(host, "bruny"),
        "incarnation": 1,
        "revision": revision,
        "digest": digest,
        "apply_id": apply_id,
        "conflict": False,
        "ready": True,
        "stopping": False,
        "abstaining": False,
        "members": [
            {"host": h, "failure_domain": "bruny", "state": s, "revision": r} for h, s, r in members
        ],
        "services": [],
        "servers": [],
    }


class Operator:
    """One apply in progress, advanced call by call."""

    def __init__(self, *, name, text, store, fleet, **options):
        request = ApplyRequest(
            text=text, file="file.toml", operator=name, apply_id=name, applied_at="", **options
        )
        self.name = name
        self.text = text
        self.accepted = None
        self.error = None
        self.done = False
        self._coroutine = self._apply(request, store, fleet)
        self.waits_for = None
        self.advance(None)

    async def _apply(self, request, store, fleet):
        planned = await plan(request, store=store, fleet=fleet)
        return await apply(request, planned, store=store, fleet=fleet, sleep_ms=self._pause)

    async def _pause(self, milliseconds):
        assert milliseconds > 0
        await Step("pause")

    def advance(self, fault):
        """Complete the pending call with ``fault`` and run to the next call."""
        try:
            self.waits_for = self._coroutine.send(fault).kind
        except StopIteration as finished:
            self.accepted, self.done = finished.value, True
        except Exception as error:
            self.error, self.done = error, True

    def finish(self, faults=()):
        """Run to completion; each write fails with the next of ``faults``."""
        remaining = list(faults)
        while not self.done:
            meets_fault = self.waits_for == "write" and remaining
            self.advance(remaining.pop(0) if meets_fault else None)
        return self


def run_to_end(coroutine):
    """Run a coroutine without faults and return its result."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as finished:
        return finished.value
