"""Whole daemons in virtual time that start together, with a store and streams in memory.

Everything above the sockets is the production code: the gateway with its feeds, peering, membership and
the order of its store calls.
"""

import random
import sys
from pathlib import Path

import eventlet
import msgspec
import pytest

from bayglade import platform
from bayglade.config import Address, GatewayConfig
from bayglade.entries import streams
from bayglade.entries.wire import Message
from bayglade.exceptions import PlatformUnavailable
from bayglade.gateway import Gateway
from bayglade.ids import HallName, MemberId, StoreEpoch
from bayglade.roster import MEMBER_PREFIX, SECRET_KEY
from bayglade.rows import (
    ABSENT,
    Changes,
    Position,
    Row,
    Transaction,
    TransactionResult,
    encode_value,
)
from standins.users.configuration import configuration
from standins.virtual_time import now

ANSWER_SECONDS = 0.004
DIAL_SECONDS = 0.003
"""Connecting and the handshake: three round trips between halls."""
STREAM_SECONDS = 0.001
MEMBERS = platform.MEMBERS_TABLE
EPOCH = StoreEpoch(1)


class Store:
    """The store of a site; rows are kept by table and key."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[int, msgspec.Raw]] = {}
        self.version = 1
        self.reads: list[tuple[float, str]] = []
        """When each call that reads was sent, and the table or key that it reads."""

        self.writes: list[float] = []
        self.refused_reads = 0
        """How many of the next calls that read the operator's table are refused."""

    def put(self, table: str, key: str, value: msgspec.Raw) -> None:
        self.version += 1
        self.rows[table, key] = (self.version, value)

    def put_document(self) -> None:
        document = encode_value(configuration(7, ("a-key",), {}))
        self.put(platform.OPERATOR_TABLE, platform.DOCUMENT_KEY, document)

    def snapshot(self, table: str) -> Changes:
        self._note_read(table)
        rows: dict[str, msgspec.Raw | None] = {
            k: row for (t, k), (_, row) in self.rows.items() if t == table
        }
        version = self.version
        eventlet.sleep(ANSWER_SECONDS)
        return Changes(rows, version, EPOCH)

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        self._note_read(table)
        until = now() + wait
        while not (found := self._newer(table, after.version)) and now() < until:
            eventlet.sleep(min(0.005, until - now()))
        version = self.version
        eventlet.sleep(ANSWER_SECONDS)
        return Changes(found, version, EPOCH)

    def read(self, keys: list[str]) -> dict[str, Row]:
        found = {}
        for key in keys:
            self._note_read(key)
            eventlet.sleep(ANSWER_SECONDS)
            row = self.rows.get((_table_of(key), key))
            if row is not None:
                found[key] = Row(*row, EPOCH)
        return found

    def transact(self, transaction: Transaction) -> TransactionResult:
        self.writes.append(now())
        eventlet.sleep(ANSWER_SECONDS)
        against = [c.key for c in transaction.conditions if self._version(c.key) != c.version]
        if not against:
            for write in transaction.writes:
                self.put(_table_of(write.key), write.key, write.value)
        return TransactionResult(not against, against, EPOCH)

    def _note_read(self, table: str) -> None:
        self.reads.append((now(), table))
        if table == platform.OPERATOR_TABLE and self.refused_reads:
            self.refused_reads -= 1
            eventlet.sleep(ANSWER_SECONDS)
            raise PlatformUnavailable("the store answered 503", step="read", peer="store")

    def _newer(self, table: str, after: int) -> dict[str, msgspec.Raw | None]:
        return {k: row for (t, k), (version, row) in self.rows.items() if t == table and version > after}

    def _version(self, key: str) -> int:
        return self.rows.get((_table_of(key), key), (ABSENT, None))[0]


def _table_of(key: str) -> str:
    return platform.store.TABLE_PREFIX + key.partition("/")[0]


class Stream:
    """A stream to another daemon, in place of one over a socket."""

    def __init__(self, site: "Site", me: MemberId, to: Gateway) -> None:
        self.site, self.me, self.to = site, me, to
        self.sent_bytes = 0
        self.peer_receives_nothing = False

    def send(self, message: Message) -> None:
        membership = self.to.peering.membership
        assert membership is not None
        eventlet.spawn_after(STREAM_SECONDS, membership._handle, self.me, message)

    def close(self) -> None:
        pass


class Site:
    """Daemons that start together.

    :param daemons: their number.
    :param halls: the number of data halls.
    :param known: whether the store has the rows of all daemons and their secret, as after a power loss.
    :param spread: seconds within which they all start to listen.
    """

    def __init__(self, daemons: int, halls: int, known: bool, spread: float) -> None:
        self.rng = random.Random(7)
        self.store = Store()
        self.by_address: dict[str, Gateway] = {}
        self.serving: set[str] = set()
        """Addresses at which daemons accept streams."""

        self.gateways: list[Gateway] = []
        self.listening_at: dict[MemberId, float] = {}
        self.settings_at: dict[MemberId, float] = {}
        self.confirmed_at: dict[MemberId, float] = {}
        self.spread = spread
        self.ended_at = 0.0
        for number in range(daemons):
            self._add(MemberId(f"front-{number}"), HallName(f"h{number % halls}"), number)
        if known:
            self.store.put(MEMBERS, SECRET_KEY, encode_value("ab" * 32))
            for gateway in self.gateways:
                row = gateway.peering._row()
                self.store.put(MEMBERS, MEMBER_PREFIX + gateway.config.member, encode_value(row))

    def start(self) -> None:
        for gateway in self.gateways:
            eventlet.spawn_after(self.rng.uniform(0.0, self.spread), self._start, gateway)

    def waits(self) -> list[float]:
        """List the seconds from listening to settings in force, shortest first."""
        return sorted(at - self.listening_at[member] for member, at in self.settings_at.items())

    def dial(self, address: Address, me: MemberId, secret: bytes) -> Stream:
        where = f"{address.host}:{address.port}"
        eventlet.sleep(DIAL_SECONDS)
        if where not in self.serving:
            raise ConnectionRefusedError(where)
        return Stream(self, me, self.by_address[where])

    def _add(self, member: MemberId, hall: HallName, number: int) -> None:
        config = GatewayConfig(
            member=member,
            hall=hall,
            callers=f"10.0.{number // 250}.{number % 250}:1",
            ready="127.0.0.1:2",
            metrics="127.0.0.1:3",
            store="127.0.0.1:4",
            peer_ports="5,6",
        )
        gateway = Gateway(config, Path("/nonexistent"))
        gateway.rng.seed(number)
        for feed in gateway._feeds():
            feed.store = self.store
            feed.rng = random.Random(number)
        gateway.peering.store = self.store  # type: ignore[assignment]
        gateway.loader.lease.platform = self.store  # type: ignore[assignment]
        self.gateways.append(gateway)
        self.by_address[gateway.peering.address] = gateway

    def _start(self, gateway: Gateway) -> None:
        member = gateway.config.member
        self.listening_at[member] = now()
        gateway.document_feed.start()
        gateway.servers_feed.start()
        eventlet.spawn_n(gateway.peering.run)
        eventlet.spawn_n(gateway.loader.run)
        eventlet.spawn_n(self._watch, gateway)

    def _watch(self, gateway: Gateway) -> None:
        member = gateway.config.member
        while member not in self.confirmed_at:
            if gateway.intake.version:
                self.settings_at.setdefault(member, now())
                if gateway.intake.caught_up:
                    self.confirmed_at[member] = now()
            eventlet.sleep(0.001)


class Listening:
    """Stands for the listening socket of a daemon."""

    def __init__(self, site: Site, address: str) -> None:
        self.site, self.address = site, address


def patch_start(monkeypatch: pytest.MonkeyPatch, site: Site) -> None:
    """Replace sockets by those of a site."""
    monkeypatch.setattr(streams, "dial", site.dial)
    monkeypatch.setattr("bayglade.peering.listen", lambda host, port: Listening(site, f"{host}:{port}"))
    monkeypatch.setattr(
        "bayglade.entries.membership.Membership.serve",
        lambda membership, listening: site.serving.add(listening.address),
    )


def patch_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make all production modules read virtual time."""
    for name, module in list(sys.modules.items()):
        if name.startswith("bayglade.") and "now" in vars(module):
            monkeypatch.setattr(module, "now", now)
