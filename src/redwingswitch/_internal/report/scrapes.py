"""Parse, save and load scrapes, the metrics that a daemon exposes at one moment."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import NamedTuple

from prometheus_client.parser import text_string_to_metric_families

from redwingswitch._internal.exceptions import DecodeError

FILE_SUFFIX = ".prom"
# Exposed by an entry host and by a steering host, respectively.
IDENTITY_METRICS = ("redwingswitch_host_info", "redwingswitch_steering_host_info")


class SampleKey(NamedTuple):
    """Name and sorted labels of one sample."""

    name: str
    labels: tuple[tuple[str, str], ...]

    def label(self, name: str) -> str:
        """Return the value of a label, or an empty string."""
        return dict(self.labels).get(name, "")


class Scrape(NamedTuple):
    """All samples of one daemon at one moment.

    ``scraped_at_ms`` is from the clock of the machine that collects the scrapes, not a daemon's.
    ``incarnation`` changes when the daemon restarts, which resets all its counters to zero.
    """

    host: str
    failure_domain: str
    incarnation: str
    scraped_at_ms: int
    samples: Mapping[SampleKey, float]


def parse_scrape(text: str, *, scraped_at_ms: int) -> Scrape:
    """Parse the text exposition format of one daemon.

    Raises ``DecodeError`` when the text is malformed or does not name its host.
    """
    try:
        samples = dict(_parse_samples(text))
    except ValueError as error:
        raise DecodeError(
            f"the metrics text is malformed: {error}; scrape the host again"
        ) from error
    identity = next((key for key in samples if key.name in IDENTITY_METRICS), None)
    if identity is None:
        raise DecodeError(f"the metrics text lacks {IDENTITY_METRICS[0]}; is this an entry host?")
    return Scrape(
        host=identity.label("host"),
        failure_domain=identity.label("failure_domain"),
        incarnation=identity.label("incarnation"),
        scraped_at_ms=scraped_at_ms,
        samples=samples,
    )


def save_scrape(directory: Path, text: str, scrape: Scrape) -> Path:
    """Write a scrape's text to a file named after its time and host."""
    path = directory / f"{scrape.scraped_at_ms}-{scrape.host}{FILE_SUFFIX}"
    path.write_text(text, encoding="utf-8")
    return path


def load_scrapes(directory: Path) -> list[Scrape]:
    """Read all saved scrapes of a directory, oldest first."""
    return sorted(
        (_load_scrape(path) for path in directory.glob(f"*{FILE_SUFFIX}")),
        key=lambda scrape: (scrape.scraped_at_ms, scrape.host),
    )


def _load_scrape(path: Path) -> Scrape:
    scraped_at, _, _ = path.name.partition("-")
    if not scraped_at.isdigit():
        raise DecodeError(
            f"{path}: the name does not start with a Unix time in ms; rename or remove it"
        )
    return parse_scrape(path.read_text(encoding="utf-8"), scraped_at_ms=int(scraped_at))


def _parse_samples(text: str) -> Iterable[tuple[SampleKey, float]]:
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            yield SampleKey(sample.name, tuple(sorted(sample.labels.items()))), sample.value
