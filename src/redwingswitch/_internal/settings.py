"""Settings of the entry daemon, read from a TOML file."""

from __future__ import annotations

import ipaddress
import stat
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlsplit

from redwingswitch._internal.exceptions import Finding, InvalidInputGroup
from redwingswitch._internal.utils.toml_reader import (
    MAX_PORT,
    Z85_KEY_PATTERN,
    FindingCollector,
    TableReader,
    read_document,
)

DEFAULT_PEER_PORT = 7101
DEFAULT_DATA_PORT = 7201
DEFAULT_REQUEST_PORT = 7301
DEFAULT_ADMIN_PORT = 7401
DEFAULT_GRACE_PERIOD_S = 60
MAX_GRACE_PERIOD_S = 3_600
DEFAULT_STORE_TIMEOUT_MS = 2_000
MIN_STORE_TIMEOUT_MS = 50
MAX_STORE_TIMEOUT_MS = 30_000
MAX_STORE_ENDPOINTS = 16
MAX_PEERS = 1_024
MAX_SEEDS = 64
MAX_SETTINGS_BYTES = 1_000_000
MS_PER_S = 1_000


class LogLevel(StrEnum):
    """The minimum severity of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class PeerKey(NamedTuple):
    """The CURVE public key, in Z85, with which a peer must authenticate."""

    host: str
    public_key: str


class SeedSettings(NamedTuple):
    """An entry host to contact before any configuration is known."""

    host: str
    failure_domain: str
    address: str
    peer_port: int
    public_key: str


class Settings(NamedTuple):
    """Settings of one entry daemon.

    ``secret_key`` is a CURVE secret key in Z85; it is empty if and only if ``allow_plaintext``
    is true. ``host_list_url`` is empty when the platform's host list is not read.
    """

    host: str
    failure_domain: str
    address: str
    peer_port: int
    data_port: int
    request_port: int
    admin_port: int
    secret_key: str
    allow_plaintext: bool
    peers: tuple[PeerKey, ...]
    store_endpoints: tuple[str, ...]
    store_timeout_ms: int
    seeds: tuple[SeedSettings, ...]
    grace_period_ms: int
    log_level: LogLevel
    host_list_url: str

    def grace_deadline_ms(self, now_ms: int) -> int:
        """Return the deadline of a graceful stop that begins at ``now_ms``."""
        return now_ms + self.grace_period_ms


def read_settings(path: Path) -> Settings:
    """Return the settings in ``path``; raise InvalidInputGroup with all findings otherwise."""
    text = read_text_file(path, limit_bytes=MAX_SETTINGS_BYTES)
    return parse_settings(text=text, file=str(path), directory=path.parent)


def read_text_file(path: Path, *, limit_bytes: int) -> str:
    """Return the text of a file; raise InvalidInputGroup when it cannot be read."""
    try:
        with path.open("rb") as opened:
            content = opened.read(limit_bytes + 1)
        problem = (
            f"the file has more than {limit_bytes} bytes" if len(content) > limit_bytes else ""
        )
        text = content.decode()
    except OSError as error:
        problem = f"cannot be read: {error.strerror}"
    except UnicodeDecodeError as error:
        problem = f"is not UTF-8 at byte {error.start}"
    if problem:
        finding = Finding(
            str(path), None, "(whole file)", problem, "give the path of a readable TOML file"
        )
        raise InvalidInputGroup.from_findings(subject=str(path), findings=[finding])
    return text


def parse_settings(*, text: str, file: str, directory: Path) -> Settings:
    """Return the settings in ``text``; relative key file paths start at ``directory``."""
    collector = FindingCollector(file=file)
    root = read_document(text=text, collector=collector)
    settings = None if root is None else _build_settings(root, directory)
    findings = collector.findings(text)
    if findings or settings is None:
        raise InvalidInputGroup.from_findings(subject=file, findings=findings)
    return settings


def _build_settings(root: TableReader, directory: Path) -> Settings:
    allow_plaintext = root.boolean("allow_plaintext", default=False)
    seeds = root.tables("seeds", maximum=MAX_SEEDS)
    settings = Settings(
        host=root.name("host"),
        failure_domain=root.name("failure_domain"),
        address=root.address("address"),
        peer_port=root.port("peer_port", default=DEFAULT_PEER_PORT),
        data_port=root.port("data_port", default=DEFAULT_DATA_PORT),
        request_port=root.port("request_port", default=DEFAULT_REQUEST_PORT),
        admin_port=root.port("admin_port", default=DEFAULT_ADMIN_PORT),
        secret_key=_read_secret_key(root, directory),
        allow_plaintext=allow_plaintext,
        peers=tuple(_read_peer(table) for table in root.tables("peers", maximum=MAX_PEERS)),
        store_endpoints=_read_store_endpoints(root),
        store_timeout_ms=root.integer(
            "store_timeout_ms",
            minimum=MIN_STORE_TIMEOUT_MS,
            maximum=MAX_STORE_TIMEOUT_MS,
            default=DEFAULT_STORE_TIMEOUT_MS,
        ),
        seeds=tuple(_read_seed(table, allow_plaintext) for table in seeds),
        grace_period_ms=MS_PER_S
        * root.integer(
            "grace_period_s",
            minimum=1,
            maximum=MAX_GRACE_PERIOD_S,
            default=DEFAULT_GRACE_PERIOD_S,
        ),
        log_level=root.choice("log_level", choices=tuple(LogLevel), default=LogLevel.INFO),
        host_list_url=_checked_url(root, "host_list_url", root.string("host_list_url", default="")),
    )
    _check_ports(root, settings)
    _check_keys(root, settings)
    _check_names(root, settings)
    root.check_unknown_keys()
    return settings


def _read_peer(table: TableReader) -> PeerKey:
    peer = PeerKey(host=table.name("host"), public_key=table.curve_key("public_key"))
    if not table.has("public_key"):
        table.add_finding("public_key", "missing key", "add the peer's CURVE public key")
    table.check_unknown_keys()
    return peer


def _read_seed(table: TableReader, allow_plaintext: bool) -> SeedSettings:
    seed = SeedSettings(
        host=table.name("host"),
        failure_domain=table.name("failure_domain"),
        address=table.address("address"),
        peer_port=table.port("peer_port", default=DEFAULT_PEER_PORT),
        public_key=table.curve_key("public_key"),
    )
    if not allow_plaintext and not table.string("public_key", default=""):
        table.add_finding("public_key", "there is no key", "add the seed's CURVE public key")
    table.check_unknown_keys()
    return seed


def _read_store_endpoints(root: TableReader) -> tuple[str, ...]:
    endpoints = root.strings("store_endpoints")
    if not endpoints:
        root.add_finding(
            "store_endpoints", "no endpoint is given", "write URLs such as http://10.0.0.1:2379"
        )
    if len(endpoints) > MAX_STORE_ENDPOINTS:
        root.add_finding(
            "store_endpoints", "too many endpoints", f"give at most {MAX_STORE_ENDPOINTS}"
        )
    return tuple(_checked_url(root, "store_endpoints", endpoint) for endpoint in endpoints)


def _checked_url(root: TableReader, key: str, url: str) -> str:
    problem = url_problem(url) if url else None
    if problem is not None:
        root.add_finding(key, problem, "write a URL such as http://10.0.0.1:2379")
    return url.rstrip("/")


def url_problem(url: str) -> str | None:
    """Return why ``url`` is not an HTTP URL with an IP address and a port, or None when it is."""
    try:
        parts = urlsplit(url)
        port = parts.port
        ipaddress.ip_address(parts.hostname or "")
    except ValueError as error:
        return f"{url!r}: {error}"
    if parts.scheme not in ("http", "https") or not port or port > MAX_PORT:
        return f"{url!r} has no scheme http or https or no port"
    return None


def _read_secret_key(root: TableReader, directory: Path) -> str:
    inline_key = root.string("secret_key", default="")
    file = root.string("secret_key_file", default="")
    if inline_key and file:
        root.add_finding("secret_key", "secret_key_file is set too", "remove one of the two")
        return ""
    key, source_key = (inline_key, "secret_key")
    if file:
        key, source_key = _read_key_file(root, directory / file), "secret_key_file"
    if key and not Z85_KEY_PATTERN.fullmatch(key):
        root.add_finding(
            source_key, "not a CURVE key in Z85", "use 40 characters of the Z85 alphabet"
        )
    return key


def _read_key_file(root: TableReader, path: Path) -> str:
    try:
        mode = path.stat().st_mode
        key = path.read_text(encoding="ascii").strip()
    except (OSError, ValueError) as error:
        # A ValueError comes from a path with a null character, or from a file that is not ASCII.
        root.add_finding(
            "secret_key_file",
            f"cannot be read: {error}",
            "give the path of a readable file with the key",
        )
        return ""
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        root.add_finding(
            "secret_key_file", "other users can access the file", "set its mode to 0600"
        )
    return key


def _check_ports(root: TableReader, settings: Settings) -> None:
    if settings.peer_port == settings.admin_port:
        root.add_finding("admin_port", "equal to peer_port, both TCP", "use another port")
    if settings.data_port == settings.request_port:
        root.add_finding("request_port", "equal to data_port, both UDP", "use another port")


def _check_keys(root: TableReader, settings: Settings) -> None:
    has_secret_key = root.has("secret_key") or root.has("secret_key_file")
    if settings.allow_plaintext:
        _check_plaintext(root, settings, has_secret_key)
        return
    if not has_secret_key:
        root.add_finding("secret_key_file", "there is no key", "add the host's CURVE secret key")


def _check_plaintext(root: TableReader, settings: Settings, has_secret_key: bool) -> None:
    if has_secret_key:
        root.add_finding("allow_plaintext", "there is a secret key too", "remove one of the two")
    addresses = [settings.address, *(seed.address for seed in settings.seeds)]
    for address in addresses:
        if address and not ipaddress.IPv4Address(address).is_loopback:
            problem = f"{address} is not a loopback address"
            root.add_finding("allow_plaintext", problem, "use keys, or loopback addresses only")


def _check_names(root: TableReader, settings: Settings) -> None:
    for key, names in (
        ("peers", [peer.host for peer in settings.peers]),
        ("seeds", [seed.host for seed in settings.seeds]),
    ):
        for name in sorted({n for n in names if n and names.count(n) > 1}):
            root.add_finding(key, f"{name!r} is listed twice", "keep one entry")
