"""Client for the model engines: token streams, cancellation, load reports and orders."""

import math
from collections.abc import Iterator
from contextlib import suppress

import eventlet
import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError, ReadTimeoutError

from bayglade.config import parse_address
from bayglade.decoding import decode_json, reading
from bayglade.engines import wire
from bayglade.exceptions import BackendError, BackendRefused, BackendUnreachable, InvalidSettings
from bayglade.guarded_http import create_pool

CONNECT_TIMEOUT = 0.5
PROBE_TIMEOUT = 0.3
POOL_SIZE = 64
CONTROL_POOL_SIZE = 4
READ_BYTES = 16 * 1024
MAX_CONTROL_BYTES = 1024 * 1024
"""Size limit of an answer that is no stream."""


class Engines:
    """Sends requests to engines over a connection pool per address."""

    def __init__(self) -> None:
        self.pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self.control_pools: dict[str, urllib3.HTTPConnectionPool] = {}
        """Pools for short answers."""

    def __repr__(self) -> str:
        return f"<Engines {len(self.pools)} pools>"

    def stream(self, message: wire.Generate, gap_timeout: float) -> Iterator[wire.Frame]:
        """Run one attempt and yield its frames.

        The connection returns to its pool only if the whole answer was read.

        :param message: the attempt, sent to its first stage.
        :param gap_timeout: seconds without data after which the attempt has failed.
        :return: the frames as they arrive, including any that belong to other attempts.
        :raises BackendUnreachable: if no byte was sent.
        :raises BackendRefused: if the engine refused before running the attempt.
        :raises BackendError: if the stream broke, timed out or was malformed.
        """
        first_stage = message.stages[0]
        response = self._open(first_stage, message, gap_timeout)
        end: wire.EndFrame | None = None
        try:
            for line in self._read_lines(first_stage, response, gap_timeout):
                frame = self._decode_frame(first_stage, line)
                if isinstance(frame, wire.EndFrame):
                    end = frame
                    continue
                yield frame
        except BackendError:
            # An error after the end frame does not affect the answer.
            if end is None:
                raise
        finally:
            # Closes the connection unless the answer was read to the last byte.
            response.close()
        if end is not None:
            yield end

    def cancel(self, stage: wire.Stage, message: wire.Cancel) -> bool:
        """Cancel an attempt on an engine.

        :param stage: the engine.
        :param message: the attempt.
        :return: whether the engine confirmed the cancellation.
        """
        return (
            self._request(stage.address, "POST", wire.CANCEL_PATH, msgspec.json.encode(message)) is not None
        )

    def load(self, address: str) -> wire.Load | None:
        """Fetch the load of an engine.

        :param address: the engine's address.
        :return: the load, or None if the engine does not answer in time or its answer is malformed.
        """
        body = self._request(address, "GET", wire.LOAD_PATH, None)
        if body is None:
            return None
        with suppress(InvalidSettings):
            return decode_json(body, wire.Load, "a load", "load")
        return None

    def order(self, address: str, message: wire.HoldVersion) -> bool:
        """Order an engine to hold a model version.

        :param address: the engine's address.
        :param message: the order, with the lease epoch under which it is given.
        :return: whether the engine accepted the order; sending it again is harmless.
        """
        return self._request(address, "POST", wire.ORDER_PATH, msgspec.json.encode(message)) is not None

    def close_unlisted(self, listed: set[str]) -> None:
        """Close the pools of engines that are no longer listed.

        :param listed: addresses of the engines to keep.
        """
        for pools in (self.pools, self.control_pools):
            for address in set(pools) - listed:
                pools.pop(address).close()

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        if address not in self.pools:
            # Streams are bounded frame by frame.
            self.pools[address] = create_pool(parse_address(address), POOL_SIZE, math.inf)
        return self.pools[address]

    def _control_pool(self, address: str) -> urllib3.HTTPConnectionPool:
        if address not in self.control_pools:
            self.control_pools[address] = create_pool(
                parse_address(address), CONTROL_POOL_SIZE, MAX_CONTROL_BYTES, PROBE_TIMEOUT
            )
        return self.control_pools[address]

    def _open(
        self, first_stage: wire.Stage, message: wire.Generate, gap_timeout: float
    ) -> urllib3.BaseHTTPResponse:
        slow = BackendError("no answer in time", step="send", peer=first_stage.backend)
        try:
            with eventlet.Timeout(CONNECT_TIMEOUT + gap_timeout, slow):
                response = self._pool(first_stage.address).urlopen(
                    "POST",
                    wire.GENERATE_PATH,
                    body=msgspec.json.encode(message),
                    headers={"Content-Type": "application/json"},
                    timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=gap_timeout),
                    retries=False,
                    redirect=False,
                    preload_content=False,
                )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise BackendUnreachable("cannot connect", step="connect", peer=first_stage.backend) from error
        except HTTPError as error:
            raise BackendError("no answer", step="send", peer=first_stage.backend) from error
        if response.status != 200:
            response.close()
            self._raise_for_status(first_stage, response.status)
        return response

    def _raise_for_status(self, first_stage: wire.Stage, status: int) -> None:
        message = f"the engine answered {status}"
        if status in (400, 404, 409, 429, 503):
            raise BackendRefused(message, step="generate", peer=first_stage.backend)
        raise BackendError(message, step="generate", peer=first_stage.backend)

    def _read_lines(
        self, first_stage: wire.Stage, response: urllib3.BaseHTTPResponse, gap_timeout: float
    ) -> Iterator[bytes]:
        rest = b""
        # Bytes that frame the stream don't count as data, however many there are.
        slow = BackendError("the stream timed out", step="stream", peer=first_stage.backend)
        try:
            while True:
                with eventlet.Timeout(gap_timeout, slow):
                    chunk = response.read1(READ_BYTES, decode_content=False)
                if not chunk:
                    return
                *lines, rest = (rest + chunk).split(b"\n")
                yield from lines
                if len(rest) > wire.MAX_FRAME_BYTES:
                    raise BackendError(
                        "a frame exceeds the size limit", step="stream", peer=first_stage.backend
                    )
        except ReadTimeoutError as error:
            raise BackendError("the stream timed out", step="stream", peer=first_stage.backend) from error
        except HTTPError as error:
            raise BackendError(
                "the stream was interrupted", step="stream", peer=first_stage.backend
            ) from error

    def _decode_frame(self, first_stage: wire.Stage, line: bytes) -> wire.Frame:
        try:
            with reading("a frame", "stream"):
                return wire.decode_frame(line)
        except InvalidSettings as error:
            raise BackendError("malformed frame", step="stream", peer=first_stage.backend) from error

    def _request(self, address: str, method: str, path: str, body: bytes | None) -> bytes | None:
        timeout = urllib3.Timeout(connect=PROBE_TIMEOUT, read=PROBE_TIMEOUT)
        try:
            response = self._control_pool(address).urlopen(
                method, path, body=body, timeout=timeout, retries=False, redirect=False
            )
        except HTTPError:
            return None
        return response.data if response.status == 200 else None


def create_engines() -> Engines:
    """Create the client; it connects when it is first used."""
    return Engines()
