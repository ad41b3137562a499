"""Assembly of one attempt's answer parts into a whole answer."""

from __future__ import annotations

from enum import Enum, auto

MAX_ANSWER_BYTES = 1_000_000
MAX_ANSWER_PARTS = 4_096


class AssemblyState(Enum):
    """How far an answer has come; ``BROKEN`` means that it can never be whole."""

    PARTIAL = auto()
    WHOLE = auto()
    BROKEN = auto()


class AnswerAssembly:
    """Holds the parts of one attempt's answer; parts of two attempts never meet."""

    def __init__(self) -> None:
        self._parts: dict[int, bytes] = {}
        self._expected = 0
        self._bytes = 0
        self._broken = False

    @property
    def started(self) -> bool:
        """Return whether any part has arrived."""
        return self._expected > 0

    def add(self, part: int, parts: int, body: bytes) -> AssemblyState:
        """Take one part, in any order."""
        self._broken = self._broken or not self._fits(part, parts, body)
        if not self._broken and part not in self._parts:
            self._parts[part] = body
            self._bytes += len(body)
        self._expected = self._expected or max(1, parts)
        return self.state()

    def state(self) -> AssemblyState:
        """Return whether the answer is whole."""
        if self._broken:
            return AssemblyState.BROKEN
        whole = self.started and len(self._parts) == self._expected
        return AssemblyState.WHOLE if whole else AssemblyState.PARTIAL

    def parts(self) -> tuple[bytes, ...]:
        """Return the parts of a whole answer in order."""
        return tuple(self._parts[i] for i in range(self._expected))

    def _fits(self, part: int, parts: int, body: bytes) -> bool:
        if not 0 <= part < parts <= MAX_ANSWER_PARTS:
            return False
        if self._expected not in (0, parts):
            return False
        if part in self._parts:
            return self._parts[part] == body
        return self._bytes + len(body) <= MAX_ANSWER_BYTES
