"""HTTP client for plain services."""

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from bayglade.config import DEFAULT_MAX_ANSWER_BYTES, parse_address
from bayglade.exceptions import BackendError, BackendUnreachable
from bayglade.guarded_http import create_pool
from bayglade.http1 import is_status
from bayglade.ids import BackendId
from bayglade.services.wire import RESPONSE_HEADERS, ServiceAnswer, ServiceCall, filter_headers
from bayglade.upstream import HoldBytes, join_pieces

CONNECT_TIMEOUT = 0.5
POOL_SIZE = 32
READ_BYTES = 64 * 1024
MAX_FRAMED_BYTES = 4 * DEFAULT_MAX_ANSWER_BYTES
"""Size limit of an answer with its head, and with what frames the body."""


class Services:
    """Calls the servers of plain services over a connection pool per address."""

    def __init__(self) -> None:
        self.pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def __repr__(self) -> str:
        return f"<Services {len(self.pools)} pools>"

    def call(
        self, backend: BackendId, address: str, call: ServiceCall, timeout: float, fresh: bool
    ) -> ServiceAnswer:
        """Send a call once, without retries, and read the whole answer.

        :param backend: the server's id.
        :param address: the server's address.
        :param call: the call.
        :param timeout: seconds without data after which the call has failed.
        :param fresh: open a new connection. A pooled one may just have been closed
            by the server, which would leave the outcome unknown.
        :return: the answer.
        :raises BackendUnreachable: if no byte was sent.
        :raises BackendError: if the outcome is unknown.
        """
        pool = self._new_pool(address) if fresh else self._pool(address)
        try:
            return self._call(pool, backend, call, timeout)
        finally:
            if fresh:
                pool.close()

    def _call(
        self, pool: urllib3.HTTPConnectionPool, backend: BackendId, call: ServiceCall, timeout: float
    ) -> ServiceAnswer:
        try:
            response = pool.urlopen(
                call.method,
                call.path,
                body=call.body,
                headers=call.headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=timeout),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
            if not is_status(response.status):
                response.close()
                raise BackendError(f"{response.status} is not a status", step="call", peer=backend)
            body = _read_body(response, backend, call.hold_answer)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise BackendUnreachable("cannot connect", step="connect", peer=backend) from error
        except HTTPError as error:
            raise BackendError("incomplete answer", step="call", peer=backend) from error
        headers = filter_headers(dict(response.headers), RESPONSE_HEADERS)
        return ServiceAnswer(status=response.status, headers=headers, body=body)

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        if address not in self.pools:
            self.pools[address] = self._new_pool(address)
        return self.pools[address]

    def _new_pool(self, address: str) -> urllib3.HTTPConnectionPool:
        return create_pool(parse_address(address), POOL_SIZE, MAX_FRAMED_BYTES)


def _read_body(response: urllib3.BaseHTTPResponse, backend: BackendId, hold: HoldBytes) -> bytes:
    """Read the whole body of an answer; the connection returns to its pool only then.

    :param hold: called with the bytes read so far.
    :raises AnswerTooLarge: if it exceeds the size limit.
    :raises HTTPError: if it is incomplete.
    """
    try:
        body = join_pieces(
            lambda: response.read(READ_BYTES) or None, DEFAULT_MAX_ANSWER_BYTES, backend, hold
        )
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return body


def create_services() -> Services:
    """Create the client; it connects when it is first used."""
    return Services()
