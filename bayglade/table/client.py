"""HTTP client for the platform service."""

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from bayglade.config import Address, parse_address
from bayglade.decoding import DecodedT, decode_each, decode_json
from bayglade.exceptions import InvalidSettings, NotFound, PlatformAnswerLost, PlatformUnavailable
from bayglade.guarded_http import create_pool
from bayglade.ids import Digest
from bayglade.logs import rate_limited
from bayglade.rows import Row, Transaction, TransactionResult
from bayglade.table import wire

CONNECT_TIMEOUT = 1.0
READ_TIMEOUT = 2.0
POOL_SIZE = 16
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_ANSWER_SECONDS = 5.0
"""Maximum time from the first byte of an answer to its last."""
RETRY_AFTER = 2.0
INVALID_HOST_LOGS_PER_SECOND = 1.0


class Platform:
    """Client of the platform for one daemon. Its only state is pooled connections."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.pool = create_pool(
            address,
            POOL_SIZE,
            MAX_ANSWER_BYTES,
            MAX_ANSWER_SECONDS,
            urllib3.Timeout(connect=CONNECT_TIMEOUT, read=READ_TIMEOUT),
        )
        self.log_invalid_host = rate_limited(INVALID_HOST_LOGS_PER_SECOND)

    def __repr__(self) -> str:
        return f"<Platform {self.address}>"

    def read(self, keys: list[str]) -> dict[str, Row]:
        """Read rows of the table in one request.

        :param keys: keys of the rows.
        :return: the rows that exist.
        :raises PlatformUnavailable: if the platform does not answer.
        """
        body = self._post("read", wire.TABLE_READ_PATH, wire.ReadRows(keys), PlatformUnavailable)
        return self._decode("read", body, wire.Rows, PlatformUnavailable).rows

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Write rows atomically if all conditions hold.

        :param transaction: conditions and writes.
        :return: whether it was committed.
        :raises PlatformUnavailable: if nothing was written.
        :raises PlatformAnswerLost: if it may have been committed.
        """
        body = self._post("transact", wire.TABLE_TRANSACT_PATH, transaction, PlatformAnswerLost)
        return self._decode("transact", body, TransactionResult, PlatformAnswerLost)

    def put_object(self, digest: Digest, content: bytes) -> None:
        """Store content under its digest; the operation is idempotent.

        :param digest: SHA-256 of the content.
        :param content: the bytes to store.
        :raises PlatformUnavailable: if the platform does not answer.
        """
        self._request("put", "PUT", wire.OBJECT_PATH + digest, content, PlatformUnavailable)

    def get_object(self, digest: Digest) -> bytes:
        """Fetch content by digest.

        :param digest: SHA-256 of the content.
        :return: the stored bytes; verifying the digest is up to the caller.
        :raises NotFound: if there is no such object.
        :raises PlatformUnavailable: if the platform does not answer.
        """
        return self._request("get", "GET", wire.OBJECT_PATH + digest, None, PlatformUnavailable)

    def hosts(self) -> list[wire.Host]:
        """Fetch the host list.

        :return: the live and leaving hosts that the platform lists.
        :raises PlatformUnavailable: if the platform does not answer.
        """
        body = self._request("hosts", "GET", wire.HOSTS_PATH, None, PlatformUnavailable)
        listed = self._decode("hosts", body, wire.Hosts, PlatformUnavailable).hosts
        decoded = decode_each({str(n): entry for n, entry in enumerate(listed)}, _decode_host)
        for number, reason in decoded.invalid.items():
            self.log_invalid_host("ERROR", "host ignored", number=number, error=reason)
        return list(decoded.found.values())

    def _decode(
        self, step: str, body: bytes, kind: type[DecodedT], error_type: type[PlatformUnavailable]
    ) -> DecodedT:
        try:
            return decode_json(body, kind, "the answer", step)
        except InvalidSettings as error:
            raise error_type(error.message, step=step, peer=str(self.address)) from error

    def _post(
        self, step: str, path: str, message: msgspec.Struct, lost_error: type[PlatformUnavailable]
    ) -> bytes:
        return self._request(step, "POST", path, msgspec.json.encode(message), lost_error)

    def _request(
        self, step: str, method: str, path: str, body: bytes | None, lost_error: type[PlatformUnavailable]
    ) -> bytes:
        peer = str(self.address)
        try:
            response = self.pool.urlopen(method, path, body=body, retries=False, redirect=False)
        except (NewConnectionError, ConnectTimeoutError) as error:
            message = "the platform cannot be reached"
            raise PlatformUnavailable(message, step=step, peer=peer, retry_after=RETRY_AFTER) from error
        except HTTPError as error:
            message = "no complete answer from the platform"
            raise lost_error(message, step=step, peer=peer, retry_after=RETRY_AFTER) from error
        if response.status == 404:
            raise NotFound(f"the platform has no {path}", step=step, peer=peer)
        if response.status == 503:
            message = "the platform rejected the request"
            raise PlatformUnavailable(message, step=step, peer=peer, retry_after=RETRY_AFTER)
        if not 200 <= response.status < 300:
            message = f"the platform answered {response.status}"
            raise lost_error(message, step=step, peer=peer, retry_after=RETRY_AFTER)
        return response.data


def _decode_host(number: str, entry: msgspec.Raw) -> wire.Host:
    """Decode an entry of the host list.

    :raises InvalidSettings: if the address of a daemon cannot be dialled.
    """
    host = msgspec.json.decode(entry, type=wire.Host)
    if host.kind is wire.HostKind.ENTRY:
        parse_address(host.address)
    return host


def create_platform(address: str) -> Platform:
    """Create the client of a platform; it connects when it is first used.

    :param address: IP address and port.
    """
    return Platform(parse_address(address))
