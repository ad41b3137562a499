"""Exceptions of redwingswitch; their messages tell the user what to do."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

# The place of a finding on an option.
COMMAND_LINE = "(command line)"


class Finding(NamedTuple):
    """One problem in an input file or an option, its location and how to fix it."""

    file: str
    line: int | None
    key_path: str
    problem: str
    remedy: str

    @classmethod
    def on_option(cls, option: str, problem: str, remedy: str) -> Finding:
        """Return a finding on an option of the command line."""
        return cls(COMMAND_LINE, None, option, problem, remedy)

    def __str__(self) -> str:
        location = self.file if self.line is None else f"{self.file}:{self.line}"
        return f"{location}: {self.key_path}: {self.problem}; {self.remedy}"


class RedwingswitchError(Exception):
    """Base class of all errors of this project."""


class InvalidInputError(RedwingswitchError):
    """One finding in a settings or configuration file."""

    def __init__(self, *, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class InvalidInputGroup(ExceptionGroup[InvalidInputError]):
    """All findings of one input, reported together."""

    @classmethod
    def from_findings(cls, *, subject: str, findings: Sequence[Finding]) -> InvalidInputGroup:
        """Build the group for ``subject``, with one error for each finding."""
        errors = [InvalidInputError(finding=finding) for finding in findings]
        return cls(f"{subject} has {len(errors)} finding(s); nothing was changed", errors)

    @classmethod
    def from_options(cls, findings: Sequence[Finding]) -> InvalidInputGroup:
        """Build the group for the command line."""
        return cls.from_findings(subject="the command line", findings=findings)


class StoreUnavailableError(RedwingswitchError):
    """A read from the key-value service failed, or a write certainly had no effect."""


class ResponseTooLargeError(StoreUnavailableError):
    """A response is larger than this program reads; the same call would fail again."""


class StoreOutcomeUnknownError(RedwingswitchError):
    """The key-value service did not confirm a write; it may or may not have taken effect."""


class StoreHistoryLostError(RedwingswitchError):
    """The key-value service no longer has the requested changes; read the whole list again."""


class ConfigurationConflictError(RedwingswitchError):
    """Another operator's configuration was accepted first."""


class StoreBehindFleetError(RedwingswitchError):
    """Entry hosts hold a configuration that the key-value service does not have."""


class FleetUnreachableError(RedwingswitchError):
    """No entry host answered, so the revision in force is not known."""


class DecodeError(RedwingswitchError):
    """A packet or message is malformed or has an unknown schema version."""


class PeerSecurityError(RedwingswitchError):
    """Unencrypted peer connections were requested where they are not allowed."""


class HostListUnavailableError(RedwingswitchError):
    """The platform's list of hosts could not be read."""


class FlowRefusedError(RedwingswitchError):
    """A flow could not be opened: it was reset, or its opening packets got no answer."""
