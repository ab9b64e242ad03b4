"""Client of the plain services."""

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from bayglade.config import parse_address
from bayglade.exceptions import BackendError, BackendUnreachable
from bayglade.ids import BackendId
from bayglade.services.wire import RESPONSE_HEADERS, ServiceAnswer, ServiceCall, filter_headers

CONNECT_TIMEOUT = 0.5
POOL_SIZE = 32


class Services:
    """Pooled connections to the servers of plain services, by address."""

    def __init__(self) -> None:
        self.pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def __repr__(self) -> str:
        return f"<Services {len(self.pools)} pools>"

    def call(
        self, backend: BackendId, address: str, call: ServiceCall, timeout: float, fresh: bool
    ) -> ServiceAnswer:
        """Send one call and read its whole answer. It is never sent twice here.

        :param backend: the server's id.
        :param address: the server's address.
        :param call: the call.
        :param timeout: seconds without a byte after which the call has failed.
        :param fresh: open a new connection, so that a pooled one that the server
            has just closed cannot leave the outcome unknown.
        :return: the answer.
        :raises BackendUnreachable: when no byte was sent.
        :raises BackendError: when the outcome is unknown.
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
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise BackendUnreachable("cannot connect", step="connect", peer=backend) from error
        except HTTPError as error:
            raise BackendError("no whole answer", step="call", peer=backend) from error
        headers = filter_headers(dict(response.headers), RESPONSE_HEADERS)
        return ServiceAnswer(status=response.status, headers=headers, body=response.data)

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        if address not in self.pools:
            self.pools[address] = self._new_pool(address)
        return self.pools[address]

    def _new_pool(self, address: str) -> urllib3.HTTPConnectionPool:
        where = parse_address(address)
        return urllib3.HTTPConnectionPool(where.host, where.port, maxsize=POOL_SIZE, retries=False)


def create_services() -> Services:
    """Build the client of the plain services, with no connection yet."""
    return Services()
