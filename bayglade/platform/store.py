"""Client of the platform's metadata store: rows, transactions and feeds over HTTP."""

import base64
import binascii
import math
from collections.abc import Callable

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from bayglade.config import Address
from bayglade.exceptions import HistoryGone, PlatformAnswerLost, PlatformUnavailable
from bayglade.ids import UNKNOWN_EPOCH, StoreEpoch
from bayglade.logs import rate_limited
from bayglade.rows import ABSENT, Changes, Position, Row, Transaction, TransactionResult

CONNECT_TIMEOUT = 0.5
READ_TIMEOUT = 1.0
"""Seconds that an answer may take at most, beside the wait that was asked for."""
POOL_SIZE = 4
PAGE_ROWS = 500
OWN_TABLES = "bayglade-"
"""Begins the names of bayglade's own tables; each matter has one, so that a feed of one wakes
nobody for another."""
MEMBERS_TABLE = OWN_TABLES + "members"
EPOCH_HEADER = "Store-Era"
MAX_EPOCH_DIGITS = 18
"""Epochs fit 64 bits: they go to other daemons too."""
STRANGE_LINES_PER_SECOND = 0.1
"""Log lines a second on epochs that make no sense: each answer names one."""


class StoredRow(msgspec.Struct):
    """A row on the wire."""

    key: str
    value: str = ""  # base64
    ver: int = ABSENT
    gone: bool = False  # a row that was removed, in feeds


class Page(msgspec.Struct):
    """Rows as of one moment."""

    rows: list[StoredRow]
    ver: int  # the newest version of the whole store, not of these rows
    more: bool = False


class Answer(msgspec.Struct, frozen=True):
    """An answer of the store."""

    status: int
    body: bytes
    epoch: StoreEpoch


class Expected(msgspec.Struct):
    """A row and the version that it must have."""

    key: str
    ver: int
    table: str
    part: str = ""


class Put(msgspec.Struct):
    """A row to be written."""

    key: str
    value: str
    table: str
    part: str = ""


class Write(msgspec.Struct):
    """A transaction on the wire; ``expected`` are versions of rows, not revisions of settings."""

    expected: list[Expected] = msgspec.field(name="expectedRev")
    put: list[Put]
    remove: list[Expected] = []


class Store:
    """The store as seen by one daemon; holds only pooled connections.

    :param address: where it answers.
    :param answer_seconds: how long an answer to a reading call may take beside the wait asked for.
    :param on_epoch: told of the epoch that each answer names, refusals and conflicts among them.
    """

    def __init__(
        self,
        address: Address,
        answer_seconds: float = READ_TIMEOUT,
        on_epoch: Callable[[StoreEpoch], None] = lambda epoch: None,
    ) -> None:
        self.address = address
        self.answer_seconds = answer_seconds
        self.on_epoch = on_epoch
        self.tell_strange = rate_limited(STRANGE_LINES_PER_SECOND)
        self.pool = self._new_pool()

    def __repr__(self) -> str:
        return f"<Store {self.address}>"

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        where = self.address
        return urllib3.HTTPConnectionPool(where.host, where.port, maxsize=POOL_SIZE, retries=False)

    def snapshot(self, table: str) -> Changes:
        """Read all rows of a table; see :class:`bayglade.rows.ChangeFeed`."""
        found: dict[str, msgspec.Raw | None] = {}
        start, first = "", None
        while True:
            page, epoch = self._page(f"/api/rows-get?table={table}&part=&from={start}&limit={PAGE_ROWS}")
            # Changes since the first page come again with the feed.
            first = Position(epoch, page.ver) if first is None else first
            if epoch != first.epoch:
                raise HistoryGone("the store was restored between two pages", step="read", peer="store")
            found.update((row.key, _value(row)) for row in page.rows)
            if not page.more or not page.rows:
                return Changes(found, first.version, first.epoch)
            start = page.rows[-1].key + "\0"

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        """Wait for changes; see :class:`bayglade.rows.ChangeFeed`."""
        # Rounded up: an answer that comes before the whole wait is over does not confirm it.
        path = f"/api/rows-feed?table={table}&afterRev={after.version}&waitMs={math.ceil(wait * 1000)}"
        page, epoch = self._page(path, wait)
        return Changes({row.key: _value(row) for row in page.rows}, page.ver, epoch)

    def read(self, keys: list[str]) -> dict[str, Row]:
        """Read rows of bayglade's own tables; see :class:`bayglade.rows.RowStore`."""
        found: dict[str, Row] = {}
        for key in keys:
            page, epoch = self._page(f"/api/rows-get?table={_table(key)}&part=&from={key}&limit=1")
            for row in page.rows:
                if row.key == key:
                    found[key] = Row(row.ver, _decoded(row.value), epoch)
        return found

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Write rows of bayglade's own tables; see :class:`bayglade.rows.RowStore`."""
        message = Write(
            expected=[Expected(c.key, c.version, _table(c.key)) for c in transaction.conditions],
            put=[Put(w.key, base64.b64encode(w.value).decode(), _table(w.key)) for w in transaction.writes],
            remove=[
                Expected(c.key, c.version, _table(c.key))
                for c in transaction.conditions
                if c.key in transaction.removes
            ],
        )
        answer = self._call("transact", "POST", "/api/rows-tx", msgspec.json.encode(message), READ_TIMEOUT)
        if answer.status == 412:
            conflicts = msgspec.json.decode(answer.body, type=Page).rows
            return TransactionResult(False, [row.key for row in conflicts], answer.epoch)
        if answer.status != 200:
            raise self._refused("transact", answer.status, lost=answer.status not in (429, 503))
        return TransactionResult(True, epoch=answer.epoch)

    def _page(self, path: str, wait: float = 0.0) -> tuple[Page, StoreEpoch]:
        answer = self._call("read", "GET", path, None, wait + min(READ_TIMEOUT, self.answer_seconds))
        if answer.status == 410:
            raise HistoryGone("the history after this version is gone", step="read", peer="store")
        if answer.status != 200:
            raise self._refused("read", answer.status, lost=False)
        try:
            return msgspec.json.decode(answer.body, type=Page), answer.epoch
        except msgspec.DecodeError as error:
            raise PlatformUnavailable(
                f"an answer makes no sense: {error}", step="read", peer="store"
            ) from error

    def _refused(self, step: str, status: int, lost: bool) -> PlatformUnavailable:
        kind = PlatformAnswerLost if lost else PlatformUnavailable
        return kind(f"the store answered {status}", step=step, peer="store")

    def _call(self, step: str, method: str, path: str, body: bytes | None, timeout: float) -> Answer:
        lost = PlatformAnswerLost if step == "transact" else PlatformUnavailable
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            response = self.pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=timeout),
                retries=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise PlatformUnavailable("the store cannot be reached", step=step, peer="store") from error
        except (HTTPError, OSError) as error:
            # The other connections at rest may have fallen silent with this one, each of which
            # would cost a whole time-out to find out.
            self.pool, silent = self._new_pool(), self.pool
            silent.close()
            raise lost("the store's answer was lost", step=step, peer="store") from error
        epoch = self._epoch(response.headers.get(EPOCH_HEADER))
        self.on_epoch(epoch)
        return Answer(response.status, response.data, epoch)

    def _epoch(self, text: str | None) -> StoreEpoch:
        """Read the epoch that an answer names; one that makes no sense is none."""
        if text is None:
            return UNKNOWN_EPOCH
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_EPOCH_DIGITS):
            self.tell_strange("WARNING", "store epoch makes no sense", value=text[:20])
            return UNKNOWN_EPOCH
        return StoreEpoch(int(text))


def _table(key: str) -> str:
    """Return the table of one of bayglade's own rows, whose key begins with its matter."""
    return OWN_TABLES + key.partition("/")[0]


def _value(row: StoredRow) -> msgspec.Raw | None:
    return None if row.gone else _decoded(row.value)


def _decoded(text: str) -> msgspec.Raw:
    """Decode a row's value; one that cannot be read comes out empty, which is no JSON either."""
    try:
        return msgspec.Raw(base64.b64decode(text, validate=True))
    except (binascii.Error, ValueError):
        return msgspec.Raw(b"")
