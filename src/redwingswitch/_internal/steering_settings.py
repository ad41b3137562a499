"""Settings of the steering daemon, read from a TOML file."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.settings import (
    MAX_STORE_TIMEOUT_MS,
    MIN_STORE_TIMEOUT_MS,
    MS_PER_S,
    LogLevel,
    read_text_file,
)
from redwingswitch._internal.utils.toml_paths import KeyPath
from redwingswitch._internal.utils.toml_reader import (
    FindingCollector,
    TableReader,
    find_toml_lines,
    read_document,
)

# Eight times a file that names 64 failure domains of 128 characters. A reload reads the file while
# packets wait, and 1 MB takes seconds.
MAX_STEERING_SETTINGS_BYTES = 64_000
# Finding the lines of dotted keys takes time that grows with the square of their number: 2 s at
# 64 KB. Findings on a longer text have no line.
MAX_LOCATED_CHARS = 8_000
# The store normally answers in milliseconds; a call tolerates a store that is 100 times slower.
DEFAULT_STORE_TIMEOUT_MS = 1_500
MIN_GRACE_PERIOD_S = 0.1
MAX_GRACE_PERIOD_S = 3_600.0
# The limit in the README for how long a leaving backend server may still get new work.
DEFAULT_LIST_AGE_LIMIT_MS = 3_000
# With a lower limit, a host would call the store more than 30 times a second.
MIN_LIST_AGE_LIMIT_MS = 100
MAX_LIST_AGE_LIMIT_MS = 60_000
MAX_LINK_MBPS = 1_000_000.0
MAX_SLOW_START_OVERSHOOT = 100.0
MAX_SLOW_START_SLACK = 100_000.0


class Endpoint(NamedTuple):
    """An IPv4 address and a port."""

    address: str
    port: int


class SteeringSettings(NamedTuple):
    """Settings of one steering daemon.

    Packets arrive at ``steering``; resets go to the caller's address and the port of ``steering``.
    Metrics are served at the path ``/metrics`` of the endpoint ``metrics``, unless that is None.
    Hosts of one failure domain share the list of backend servers by datagrams between their
    ``peers`` addresses, unless that is None. A leaving server gets no new flow after
    ``list_age_limit_ms``, and a server of a failure domain that is taken out of service none after
    ``out_of_service_limit_ms``. Routes are in force ``configuration_limit_ms`` after they were
    written. The latter two are None without a limit of their own. ``link_mbps`` is None when the
    bandwidth of the host's link is not known. ``failure_domains`` names those of the deployment; it
    is empty when they are not known.

    A server in its slow start gets at most its service's rate times ``slow_start_overshoot`` plus
    ``slow_start_slack`` flows in a second. With ``load_sharing``, hosts tell each other the load
    that they observe, and with ``admission`` they delay or reject new flows in a shortage.
    """

    host: str
    failure_domain: str
    steering: Endpoint
    readiness: Endpoint
    readiness_path: str
    metrics: Endpoint | None
    peers: Endpoint | None
    store: Endpoint
    store_timeout_ms: int
    grace_period_ms: int
    list_age_limit_ms: int
    link_mbps: float | None
    log_level: LogLevel
    failure_domains: tuple[str, ...] = ()
    out_of_service_limit_ms: int | None = None
    configuration_limit_ms: int | None = None
    slow_start_overshoot: float = 1.0
    slow_start_slack: float = 0.0
    load_sharing: bool = False
    admission: bool = False

    @property
    def strictest_age_limit_ms(self) -> int:
        """Return the age of a list at which a host could break one of its limits."""
        limits_ms = (
            self.list_age_limit_ms,
            self.out_of_service_limit_ms,
            self.configuration_limit_ms,
        )
        return min(limit_ms for limit_ms in limits_ms if limit_ms is not None)


def read_steering_settings(path: Path) -> SteeringSettings:
    """Return the settings in ``path``; raise InvalidInputGroup with all findings otherwise."""
    text = read_text_file(path, limit_bytes=MAX_STEERING_SETTINGS_BYTES)
    return parse_steering_settings(text=text, file=str(path))


def parse_steering_settings(*, text: str, file: str) -> SteeringSettings:
    """Return the settings in ``text``."""
    collector = FindingCollector(file=file, find_lines=_find_lines)
    root = read_document(text=text, collector=collector)
    settings = None if root is None else _build_settings(root)
    findings = collector.findings(text)
    if findings or settings is None:
        raise InvalidInputGroup.from_findings(subject=file, findings=findings)
    return settings


def _find_lines(text: str) -> Mapping[KeyPath, int]:
    return find_toml_lines(text) if len(text) <= MAX_LOCATED_CHARS else {}


def _build_settings(root: TableReader) -> SteeringSettings:
    settings = SteeringSettings(
        host=root.name("host"),
        failure_domain=root.name("failure_domain"),
        steering=Endpoint(*root.endpoint("steering")),
        readiness=Endpoint(*root.endpoint("readiness")),
        readiness_path=root.string("readiness_path", default="/ready"),
        metrics=Endpoint(*root.endpoint("metrics")) if root.has("metrics") else None,
        peers=Endpoint(*root.endpoint("peers")) if root.has("peers") else None,
        store=Endpoint(*root.endpoint("store")),
        store_timeout_ms=root.integer(
            "store_timeout_ms",
            minimum=MIN_STORE_TIMEOUT_MS,
            maximum=MAX_STORE_TIMEOUT_MS,
            default=DEFAULT_STORE_TIMEOUT_MS,
        ),
        # A stop must not take longer than the platform allows, so no duration is rounded up.
        grace_period_ms=int(
            MS_PER_S
            * root.number("grace_period_s", minimum=MIN_GRACE_PERIOD_S, maximum=MAX_GRACE_PERIOD_S)
        ),
        list_age_limit_ms=_read_age_limit_ms(root, "list_age_limit_ms"),
        link_mbps=(
            root.number("link_mbps", minimum=0.0, maximum=MAX_LINK_MBPS, default=0.0)
            if root.has("link_mbps")
            else None
        ),
        log_level=root.choice("log_level", choices=tuple(LogLevel), default=LogLevel.INFO),
        failure_domains=tuple(root.strings("failure_domains")),
        out_of_service_limit_ms=_read_optional_limit_ms(root, "out_of_service_limit_ms"),
        configuration_limit_ms=_read_optional_limit_ms(root, "configuration_limit_ms"),
        slow_start_overshoot=root.number(
            "slow_start_overshoot", minimum=1.0, maximum=MAX_SLOW_START_OVERSHOOT, default=1.0
        ),
        slow_start_slack=root.number(
            "slow_start_slack", minimum=0.0, maximum=MAX_SLOW_START_SLACK, default=0.0
        ),
        load_sharing=root.boolean("load_sharing", default=False),
        admission=root.boolean("admission", default=False),
    )
    root.check_unknown_keys()
    return settings


def _read_optional_limit_ms(root: TableReader, key: str) -> int | None:
    return _read_age_limit_ms(root, key) if root.has(key) else None


def _read_age_limit_ms(root: TableReader, key: str) -> int:
    return int(
        root.number(
            key,
            minimum=MIN_LIST_AGE_LIMIT_MS,
            maximum=MAX_LIST_AGE_LIMIT_MS,
            default=DEFAULT_LIST_AGE_LIMIT_MS,
        )
    )
