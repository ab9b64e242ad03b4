"""HTTP client for the platform's metadata store: rows, transactions and change feeds."""

import base64
import binascii
import math
from collections.abc import Callable
from urllib.parse import quote

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from bayglade.config import Address
from bayglade.decoding import Count, decode_json, whole_number
from bayglade.exceptions import HistoryGone, InvalidSettings, PlatformAnswerLost, PlatformUnavailable
from bayglade.guarded_http import create_pool
from bayglade.ids import UNKNOWN_EPOCH, StoreEpoch
from bayglade.logs import rate_limited
from bayglade.rows import ABSENT, Changes, Position, Row, Transaction, TransactionResult

CONNECT_TIMEOUT = 0.5
READ_TIMEOUT = 1.0
"""Maximum time for an answer in seconds, in addition to the requested wait."""
POOL_SIZE = 4
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Size limit of an answer; the document of the largest site has a few megabytes."""
MAX_ANSWER_SECONDS = 5.0
"""Maximum time from the first byte of an answer to its last."""
PAGE_ROWS = 500
TABLE_PREFIX = "bayglade-"
"""Prefix of the names of Bayglade's own tables. Each kind of row has its own table, so that a change of
one kind does not wake the feeds of another."""
MEMBERS_TABLE = TABLE_PREFIX + "members"
EPOCH_HEADER = "Store-Era"
INVALID_EPOCH_LOGS_PER_SECOND = 0.1
"""Log lines per second about invalid epochs: every answer carries an epoch."""


class StoredRow(msgspec.Struct):
    """A row as encoded by the store."""

    key: str
    value: str = ""  # base64
    ver: Count = ABSENT
    gone: bool = False  # the row was removed; only in feeds


class Page(msgspec.Struct):
    """Rows as of one version of the store."""

    rows: list[StoredRow]
    ver: Count  # the newest version in the whole store, not just in these rows
    more: bool = False


class StoreAnswer(msgspec.Struct, frozen=True):
    """An HTTP answer of the store."""

    status: int
    body: bytes
    epoch: StoreEpoch


class Expected(msgspec.Struct):
    """Condition of a transaction: the version that a row must have."""

    key: str
    ver: int
    table: str
    part: str = ""


class Put(msgspec.Struct):
    """A row to write."""

    key: str
    value: str
    table: str
    part: str = ""


class Write(msgspec.Struct):
    """A transaction as encoded for the store. ``expectedRev`` holds versions of rows, not of settings."""

    expected: list[Expected] = msgspec.field(name="expectedRev")
    put: list[Put]
    remove: list[Expected] = []


class Store:
    """Client of the store for one daemon. Its only state is pooled connections.

    :param address: the store's address.
    :param answer_seconds: maximum time for an answer to a read, in addition to the requested wait.
    :param on_epoch: called with the epoch of every answer, including refusals and conflicts.
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
        self.log_invalid_epoch = rate_limited(INVALID_EPOCH_LOGS_PER_SECOND)
        self.pool = self._new_pool()

    def __repr__(self) -> str:
        return f"<Store {self.address}>"

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        return create_pool(self.address, POOL_SIZE, MAX_ANSWER_BYTES, MAX_ANSWER_SECONDS)

    def snapshot(self, table: str) -> Changes:
        """Read all rows of a table, page by page; see :class:`bayglade.rows.ChangeFeed`."""
        found: dict[str, msgspec.Raw | None] = {}
        start, first = "", None
        while True:
            # Other writers choose their keys freely, so a key may hold any character.
            page, epoch = self._read_page(
                f"/api/rows-get?table={table}&part=&from={quote(start)}&limit={PAGE_ROWS}"
            )
            # The feed repeats changes since the first page, so the version of that page is the one to keep.
            first = Position(epoch, page.ver) if first is None else first
            if epoch != first.epoch:
                raise HistoryGone(
                    "the store was restored from a backup between two pages", step="read", peer="store"
                )
            found.update((row.key, _row_value(row)) for row in page.rows)
            if not page.more or not page.rows:
                return Changes(found, first.version, first.epoch)
            start = page.rows[-1].key + "\0"

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        """Wait for changes; see :class:`bayglade.rows.ChangeFeed`."""
        # Rounded up: an answer that comes before the whole wait is over does not confirm that the rows are
        # current.
        path = f"/api/rows-feed?table={table}&afterRev={after.version}&waitMs={math.ceil(wait * 1000)}"
        page, epoch = self._read_page(path, wait)
        return Changes({row.key: _row_value(row) for row in page.rows}, page.ver, epoch)

    def read(self, keys: list[str]) -> dict[str, Row]:
        """Read rows of Bayglade's own tables; see :class:`bayglade.rows.RowStore`."""
        found: dict[str, Row] = {}
        for key in keys:
            page, epoch = self._read_page(
                f"/api/rows-get?table={_table_of(key)}&part=&from={quote(key)}&limit=1"
            )
            for row in page.rows:
                if row.key == key:
                    found[key] = Row(row.ver, _decode_value(row.value), epoch)
        return found

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Write rows of Bayglade's own tables; see :class:`bayglade.rows.RowStore`."""
        message = Write(
            expected=[Expected(c.key, c.version, _table_of(c.key)) for c in transaction.conditions],
            put=[
                Put(w.key, base64.b64encode(w.value).decode(), _table_of(w.key)) for w in transaction.writes
            ],
            remove=[
                Expected(c.key, c.version, _table_of(c.key))
                for c in transaction.conditions
                if c.key in transaction.removes
            ],
        )
        answer = self._request(
            "transact", "POST", "/api/rows-tx", msgspec.json.encode(message), READ_TIMEOUT
        )
        if answer.status == 412:
            try:
                conflicts = decode_json(answer.body, Page, "the answer", "transact").rows
            except InvalidSettings as error:
                raise PlatformAnswerLost(error.message, step="transact", peer="store") from error
            return TransactionResult(False, [row.key for row in conflicts], answer.epoch)
        if answer.status != 200:
            raise self._status_error("transact", answer.status, lost=answer.status not in (429, 503))
        return TransactionResult(True, epoch=answer.epoch)

    def _read_page(self, path: str, wait: float = 0.0) -> tuple[Page, StoreEpoch]:
        answer = self._request("read", "GET", path, None, wait + min(READ_TIMEOUT, self.answer_seconds))
        if answer.status == 410:
            raise HistoryGone(
                "the store no longer has the changes after this version", step="read", peer="store"
            )
        if answer.status != 200:
            raise self._status_error("read", answer.status, lost=False)
        try:
            return decode_json(answer.body, Page, "the answer", "read"), answer.epoch
        except InvalidSettings as error:
            raise PlatformUnavailable(error.message, step="read", peer="store") from error

    def _status_error(self, step: str, status: int, lost: bool) -> PlatformUnavailable:
        kind = PlatformAnswerLost if lost else PlatformUnavailable
        return kind(f"the store answered {status}", step=step, peer="store")

    def _request(
        self, step: str, method: str, path: str, body: bytes | None, timeout: float
    ) -> StoreAnswer:
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
            # The other idle connections may be dead as well; each would cost a whole timeout to find out.
            self.pool, silent = self._new_pool(), self.pool
            silent.close()
            raise lost("no complete answer from the store", step=step, peer="store") from error
        epoch = self._epoch(response.headers.get(EPOCH_HEADER))
        self.on_epoch(epoch)
        return StoreAnswer(response.status, response.data, epoch)

    def _epoch(self, text: str | None) -> StoreEpoch:
        """Parse the epoch of an answer; an invalid one is treated as unknown."""
        if text is None:
            return UNKNOWN_EPOCH
        epoch = whole_number(text)
        if epoch is None:
            self.log_invalid_epoch("WARNING", "store epoch makes no sense", value=text[:20])
            return UNKNOWN_EPOCH
        return StoreEpoch(epoch)


def _table_of(key: str) -> str:
    """Return the table of one of Bayglade's own rows; the first part of the key names it."""
    return TABLE_PREFIX + key.partition("/")[0]


def _row_value(row: StoredRow) -> msgspec.Raw | None:
    return None if row.gone else _decode_value(row.value)


def _decode_value(text: str) -> msgspec.Raw:
    """Decode a row's value. Invalid base64 gives an empty value, which JSON decoding then rejects."""
    try:
        return msgspec.Raw(base64.b64decode(text, validate=True))
    except (binascii.Error, ValueError):
        return msgspec.Raw(b"")
