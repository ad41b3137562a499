"""Assembly of the answer parts of one attempt into a complete answer."""

from __future__ import annotations

from enum import Enum, auto

MAX_ANSWER_BYTES = 1_000_000
MAX_ANSWER_PARTS = 4_096


class AssemblyState(Enum):
    """The progress of an answer; an ``INVALID`` one can never become complete."""

    PARTIAL = auto()
    COMPLETE = auto()
    INVALID = auto()


class AnswerAssembly:
    """Collects the answer parts of one attempt; parts of different attempts are never mixed."""

    def __init__(self) -> None:
        self._parts: dict[int, bytes] = {}
        self._expected_parts = 0
        self._byte_count = 0
        self._invalid = False

    @property
    def has_parts(self) -> bool:
        """Return whether any part has arrived."""
        return self._expected_parts > 0

    def add(self, part: int, parts: int, body: bytes) -> AssemblyState:
        """Add one part; parts may arrive in any order and more than once."""
        self._invalid = self._invalid or not self._is_valid_part(part, parts, body)
        if not self._invalid and part not in self._parts:
            self._parts[part] = body
            self._byte_count += len(body)
        self._expected_parts = self._expected_parts or max(1, parts)
        return self.state()

    def state(self) -> AssemblyState:
        """Return whether the answer is partial, complete or invalid."""
        if self._invalid:
            return AssemblyState.INVALID
        complete = self.has_parts and len(self._parts) == self._expected_parts
        return AssemblyState.COMPLETE if complete else AssemblyState.PARTIAL

    def parts(self) -> tuple[bytes, ...]:
        """Return the parts of a complete answer in order."""
        return tuple(self._parts[i] for i in range(self._expected_parts))

    def _is_valid_part(self, part: int, parts: int, body: bytes) -> bool:
        if not 0 <= part < parts <= MAX_ANSWER_PARTS:
            return False
        if self._expected_parts not in (0, parts):
            return False
        if part in self._parts:
            return self._parts[part] == body
        return self._byte_count + len(body) <= MAX_ANSWER_BYTES
