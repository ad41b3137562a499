"""Settings of the steering daemon, read from a TOML file."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.settings import (
    MAX_SETTINGS_BYTES,
    MAX_STORE_TIMEOUT_MS,
    MIN_STORE_TIMEOUT_MS,
    MS_PER_S,
    LogLevel,
    read_text_file,
)
from redwingswitch._internal.utils.toml_reader import FindingCollector, TableReader, read_document

# The store normally answers in milliseconds; a call tolerates a store that is 100 times slower.
DEFAULT_STORE_TIMEOUT_MS = 1_500
MAX_GRACE_PERIOD_S = 3_600
# The limit in the README for how long a leaving backend server may still get new work.
DEFAULT_LIST_AGE_LIMIT_MS = 3_000
# With a lower limit, a host would call the store more than 30 times a second.
MIN_LIST_AGE_LIMIT_MS = 100
MAX_LIST_AGE_LIMIT_MS = 60_000
MAX_LINK_MBPS = 1_000_000.0


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
    ``list_age_limit_ms``. ``link_mbps`` is None when the bandwidth of the host's link is not known.
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


def read_steering_settings(path: Path) -> SteeringSettings:
    """Return the settings in ``path``; raise InvalidInputGroup with all findings otherwise."""
    text = read_text_file(path, limit_bytes=MAX_SETTINGS_BYTES)
    return parse_steering_settings(text=text, file=str(path))


def parse_steering_settings(*, text: str, file: str) -> SteeringSettings:
    """Return the settings in ``text``."""
    collector = FindingCollector(file=file)
    root = read_document(text=text, collector=collector)
    settings = None if root is None else _build_settings(root)
    findings = collector.findings(text)
    if findings or settings is None:
        raise InvalidInputGroup.from_findings(subject=file, findings=findings)
    return settings


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
        grace_period_ms=MS_PER_S
        * root.integer("grace_period_s", minimum=1, maximum=MAX_GRACE_PERIOD_S),
        list_age_limit_ms=int(
            root.number(
                "list_age_limit_ms",
                minimum=MIN_LIST_AGE_LIMIT_MS,
                maximum=MAX_LIST_AGE_LIMIT_MS,
                default=DEFAULT_LIST_AGE_LIMIT_MS,
            )
        ),
        link_mbps=(
            root.number("link_mbps", minimum=0.0, maximum=MAX_LINK_MBPS, default=0.0)
            if root.has("link_mbps")
            else None
        ),
        log_level=root.choice("log_level", choices=tuple(LogLevel), default=LogLevel.INFO),
    )
    root.check_unknown_keys()
    return settings
