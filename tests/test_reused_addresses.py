"""Orders to a server whose address belongs to another one by now."""

from collections.abc import Iterator

import pytest
from eventlet.green import socket as green_socket

from bayglade import upstream
from bayglade.control import OrderOutcome
from bayglade.ids import BackendId
from bayglade.platform import ControlClient
from bayglade.upstream import ConnectionPool
from standins.users import MODEL, UsersSite


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=1, plain=0) as made:
        yield made


def test_another_server_at_the_address_does_not_take_an_order(
    site: UsersSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A server of another model took it, and was to hold more layers than its memory holds.
    monkeypatch.setattr(upstream, "socket", green_socket)
    server = site.of(MODEL)[0]
    control = ControlClient(ConnectionPool())
    assert control.place(BackendId("i-gone"), server.address, 0, 4, 0) is OrderOutcome.REFUSED
    assert server.orders == 0
    assert control.place(BackendId(server.id), server.address, 0, 4, 0) is OrderOutcome.TAKEN
    assert server.orders == 1
