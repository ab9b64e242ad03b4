"""The daemon's own settings: where it listens, where it stands, whom it asks.

They are read once at start from a YAML file. Everything that operators steer
lives in the settings tree instead (see :mod:`bayglade.settings`).
"""

import io
from pathlib import Path
from typing import TypeVar

import msgspec

from bayglade.exceptions import InvalidSettings
from bayglade.ids import HallName, MemberId
from bayglade.mechanisms import Mechanism

MAX_CONFIG_BYTES = 64 * 1024

ConfigT = TypeVar("ConfigT")


class Address(msgspec.Struct, frozen=True):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Config(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What one daemon knows of itself at start; times are in seconds."""

    member: MemberId
    hall: HallName
    callers: str
    entries: str
    platform: str
    entry_secret: str
    statsd: str | None = None
    log_format: str = "text"
    log_level: str = "INFO"
    max_connections: int = 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout: float = 10.0
    body_timeout: float = 30.0
    balancer_delay: float = 1.0
    drain_limit: float = 60.0
    blind_limit: float = 10.0
    poll_interval: float = 1.0

    def __repr__(self) -> str:
        return f"<Config {self.member} in {self.hall} at {self.callers}>"


class GatewayConfig(msgspec.Struct, kw_only=True):
    """What a daemon on the users' platform knows of itself; fields it does not know are passed over.

    Filled in by the platform from ``deploy/gateway.yaml``.
    """

    member: MemberId
    hall: HallName
    callers: str
    """Where callers are accepted."""

    ready: str
    """Where the balancer asks whether this daemon is ready."""

    metrics: str
    store: str
    """The platform's metadata store."""

    peer_ports: str = ""
    """Ports for streams of other gateways, the first and the last; the first is used."""

    grace_seconds: float = 8.0
    """Time between the signal to stop and the end by force."""

    drain_ms: float = 2000.0
    """Time in which it must be known here that a backend server leaves."""

    server_heartbeat_ms: float = 1200.0
    """Time between two writes of a backend server to its entry in the platform's list."""

    config_ms: float = 2000.0
    """Time in which a change of the operator's document must be in force here."""

    key_trust_ms: float = 5000.0
    """How old the knowledge of keys may be for requests that carry one."""

    retry_fraction: float = 0.1
    retry_window_seconds: float = 10.0
    retry_floor: float = 10.0
    link_mbps: float = 0.0
    """Speed of the host's link; daemons on quick ones read for the others. 0 when it is not known."""

    log_level: str = "INFO"
    without: frozenset[Mechanism] = frozenset()
    """Mechanisms that are switched off, to measure what they are worth."""

    def __repr__(self) -> str:
        return f"<GatewayConfig {self.member} in {self.hall} at {self.callers}>"


def parse_address(text: str) -> Address:
    """Read ``host:port``.

    :param text: an IP number, a colon and a port.
    :return: the address.
    :raises InvalidSettings: when the text is not of that shape.
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise InvalidSettings(f"{text!r} is not an IP number, a colon and a port", step="config")
    return Address(host, int(port))


def load_config(path: Path) -> Config:
    """Read and check a daemon's own settings.

    :param path: a YAML file.
    :return: the checked settings.
    :raises InvalidSettings: when the file is unreadable or a field is wrong.
    """
    config = _load(path, Config)
    for field in (config.callers, config.entries, config.platform):
        parse_address(field)
    return config


def load_gateway_config(path: Path) -> GatewayConfig:
    """Read and check the settings of a daemon on the users' platform.

    :param path: a YAML file.
    :return: the checked settings.
    :raises InvalidSettings: when the file is unreadable or a field is wrong.
    """
    config = _load(path, GatewayConfig)
    for field in (config.callers, config.ready, config.metrics, config.store):
        parse_address(field)
    return config


def _load(path: Path, kind: type[ConfigT]) -> ConfigT:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidSettings(f"cannot read {path}: {error.strerror}", step="config") from error
    if len(text) > MAX_CONFIG_BYTES:
        raise InvalidSettings(f"{path} is larger than {MAX_CONFIG_BYTES} bytes", step="config")
    try:
        if text.startswith("{"):
            # YAML that is JSON as well is read as JSON: the reader of YAML takes 14 ms to import, a tenth
            # of a daemon's imports, and all callers wait while all daemons start again.
            return msgspec.json.decode(text, type=kind)
        return msgspec.convert(_read_yaml(text), kind)
    except (ValueError, msgspec.ValidationError) as error:
        raise InvalidSettings(f"{path}: {error}", step="config") from error


def _read_yaml(text: str) -> object:
    from ruamel.yaml import YAML
    from ruamel.yaml.error import YAMLError

    try:
        return YAML(typ="safe", pure=True).load(io.StringIO(text))
    except YAMLError as error:
        raise ValueError(str(error)) from error
