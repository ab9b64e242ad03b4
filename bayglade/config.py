"""Local settings of a daemon: its name, its listening addresses and the services it connects to.

They are read from a YAML file at start. Everything that operators change at run time is in the
settings tree instead (see :mod:`bayglade.settings`).
"""

import io
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path
from typing import TypeVar

import msgspec

from bayglade.exceptions import InvalidSettings
from bayglade.ids import HallName, MemberId
from bayglade.mechanisms import Mechanism
from bayglade.sse import DEFAULT_MAX_EVENT_BYTES

MAX_CONFIG_BYTES = 64 * 1024
MAX_SHOWN_CHARACTERS = 60
"""Length up to which an invalid address is part of the error message."""
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
"""Checked before a port is converted: Python converts only numbers of a limited length."""
DEFAULT_MAX_ANSWER_BYTES = 4 * 1024 * 1024

ConfigT = TypeVar("ConfigT")


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Config(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Local settings of an entry daemon; times are in seconds."""

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
    """Time that the balancer needs to stop sending callers, once the daemon reports not ready."""

    drain_limit: float = 60.0
    """Maximum time for requests in flight to finish during a shutdown."""

    blind_limit: float = 10.0
    """Time without news from the platform or other daemons after which no new requests are served."""

    poll_interval: float = 1.0
    """Base interval of polling the platform."""

    memory_mb: float = 0.0
    """Memory of the host that this process may use, in MB; 0 for what the host has."""

    max_descriptors: int = 0
    """Descriptors that this process may open, with those reserved for files; 0 for the process limit."""

    def __repr__(self) -> str:
        return f"<Config {self.member} in {self.hall} at {self.callers}>"


class GatewayConfig(msgspec.Struct, kw_only=True):
    """Local settings of a daemon on the users' platform; unknown fields are ignored.

    The platform fills in the file from ``deploy/gateway.yaml``.
    """

    member: MemberId
    hall: HallName
    callers: str
    """Address that callers connect to."""

    ready: str
    """Address at which the balancer probes readiness."""

    metrics: str
    store: str
    """Address of the platform's metadata store."""

    peer_ports: str = ""
    """Ports for other gateways, as the first and last of a range: streams arrive at the first, forwarded
    calls at the last. A last port of 0 switches forwarding off."""

    grace_seconds: float = 8.0
    """Time between the termination signal and the platform killing the process."""

    drain_ms: float = 2000.0
    """Time within which this daemon must learn that a backend server is leaving."""

    server_heartbeat_ms: float = 1200.0
    """Interval at which a backend server writes its entry in the platform's list."""

    config_ms: float = 2000.0
    """Time within which a change of the operator's document must take effect in this daemon."""

    key_trust_ms: float = 5000.0
    """Maximum age of the API keys known here, for requests that carry one."""

    retry_fraction: float = 0.1
    retry_window_seconds: float = 10.0
    retry_floor: float = 10.0
    roster_seconds: float = 10.0
    """Time within which a change of the roster must be known to all daemons. One that cannot know it for
    longer has no part of the bound on retries."""

    first_start: bool = False
    """Whether the whole site starts for the first time, so that no daemon has sent anything before."""

    link_mbps: float = 0.0
    """Speed of the host's network link; daemons with fast links read tables for others. 0 if unknown."""

    max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES
    """Size limit of a backend server's answer, unless it is a stream."""

    max_event_bytes: int = DEFAULT_MAX_EVENT_BYTES
    """Size limit of an event of a stream."""

    memory_mb: float = 0.0
    """Memory of the host that this process may use, in MB; 0 for what the host has."""

    max_descriptors: int = 0
    """Descriptors that this process may open, with those reserved for files; 0 for the process limit."""

    log_level: str = "INFO"
    without: frozenset[Mechanism] = frozenset()
    """Mechanisms to switch off, in order to measure their effect."""

    def __repr__(self) -> str:
        return f"<GatewayConfig {self.member} in {self.hall} at {self.callers}>"


def parse_address(text: str) -> Address:
    """Parse an address of the form ``host:port``.

    :param text: an IP address, a colon and a port.
    :return: the parsed address.
    :raises InvalidSettings: if the text has another form.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or int(port) > MAX_PORT:
        raise InvalidSettings(
            f"{text[:MAX_SHOWN_CHARACTERS]!r} is not of the form host:port, with an IP address",
            step="config",
        )
    return Address(host, int(port))


def parse_host_address(text: str) -> Address:
    """Parse the address of another host, as an entry of the store names it.

    Such addresses are compared as text, and sent to backend servers, so each has only one valid form.

    :param text: an IPv4 address of one host, a colon and a port.
    :return: the parsed address.
    :raises InvalidSettings: if the text is anything else.
    """
    where = parse_address(text)
    shown = text[:MAX_SHOWN_CHARACTERS]
    try:
        host = IPv4Address(where.host)
    except AddressValueError as error:
        raise InvalidSettings(f"{shown!r} is not an IPv4 address and port", step="config") from error
    if host.is_unspecified or host.is_multicast or host.is_reserved:
        raise InvalidSettings(f"{shown!r} is not the address of a host", step="config")
    if where.port == 0 or str(where) != text:
        raise InvalidSettings(f"{shown!r} has no valid port", step="config")
    return where


def load_config(path: Path) -> Config:
    """Read and validate the local settings of an entry daemon.

    :param path: a YAML file.
    :return: the validated settings.
    :raises InvalidSettings: if the file is unreadable or a field is invalid.
    """
    config = _load(path, Config)
    for field in (config.callers, config.entries, config.platform):
        parse_address(field)
    return config


def load_gateway_config(path: Path) -> GatewayConfig:
    """Read and validate the local settings of a daemon on the users' platform.

    :param path: a YAML file.
    :return: the validated settings.
    :raises InvalidSettings: if the file is unreadable or a field is invalid.
    """
    config = _load(path, GatewayConfig)
    for field in (config.callers, config.ready, config.metrics, config.store):
        parse_address(field)
    return config


def _load(path: Path, config_type: type[ConfigT]) -> ConfigT:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidSettings(f"cannot read {path}: {error.strerror}", step="config") from error
    if len(text) > MAX_CONFIG_BYTES:
        raise InvalidSettings(f"{path} is larger than {MAX_CONFIG_BYTES} bytes", step="config")
    try:
        if text.startswith("{"):
            # JSON is a subset of YAML, and importing the YAML parser takes 14 ms, a tenth of a daemon's
            # import time. When all daemons restart at once, all callers wait for their imports.
            return msgspec.json.decode(text, type=config_type)
        return msgspec.convert(_read_yaml(text), config_type)
    except (ValueError, msgspec.ValidationError) as error:
        raise InvalidSettings(f"{path}: {error}", step="config") from error


def _read_yaml(text: str) -> object:
    from ruamel.yaml import YAML
    from ruamel.yaml.error import YAMLError

    try:
        return YAML(typ="safe", pure=True).load(io.StringIO(text))
    except YAMLError as error:
        raise ValueError(str(error)) from error
