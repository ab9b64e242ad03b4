"""HTTP requests and responses as request handlers see them, over WSGI."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, BinaryIO

import eventlet
import msgspec

from bayglade.clients import Client, ClientRemoved, ClientState
from bayglade.exceptions import BaygladeError, InvalidRequest, RequestTooLarge

Environ = dict[str, Any]
"""The environment of a WSGI request (PEP 3333)."""

StartResponse = Callable[..., Any]

JSON_TYPE = "application/json"
OUTCOME_HEADER = "Bayglade-Outcome"
SENT_HEADER = "Bayglade-Sent"
"""Tells another daemon whether a call that it forwarded may have reached a server."""
REQUEST_HEADER = "Bayglade-Request"
CLIENT_KEY = "bayglade.client"
"""Key of the client in the environment of a request."""

PIECE_BYTES = 16 * 1024
"""Bytes of a body that are read at a time. The reader keeps them beside the body."""
CHUNKED_PIECE_BYTES = 512
"""The same for a body in chunks, each of which is an object of its own until the piece is complete."""
FREE_PIECES = 4
"""Pieces of one body before its reader takes turns with others."""
MAX_LINE_BYTES = 8 * 1024

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Description of an error for callers and operators."""

    code: str
    message: str
    step: str
    peer: str
    outcome: str
    request: str = ""
    retry_after: float | None = None


class ErrorAnswer(msgspec.Struct, frozen=True):
    """The JSON body of all error responses."""

    error: ErrorBody


class Response(msgspec.Struct, kw_only=True):
    """A response: its status, its headers, and its content or a stream of chunks."""

    status: int
    headers: list[tuple[str, str]]
    content: bytes = b""
    chunks: Iterable[bytes] | None = None

    def __repr__(self) -> str:
        return f"<Response {self.status}>"


def json_response(value: object, status: int = 200) -> Response:
    """Build a JSON response.

    :param value: anything that msgspec can encode.
    :param status: the HTTP status.
    :return: the response.
    """
    return Response(
        status=status, headers=[("Content-Type", JSON_TYPE)], content=msgspec.json.encode(value)
    )


def error_body(error: BaygladeError, request: str = "") -> ErrorAnswer:
    """Describe an error for the other side.

    :param error: the error.
    :param request: the id of the request, if it has one.
    :return: the body.
    """
    body = ErrorBody(
        code=error.code,
        message=error.message,
        step=error.step,
        peer=error.peer,
        outcome=error.outcome.value,
        request=request,
        retry_after=None if error.retry_after is None else round(error.retry_after, 2),
    )
    return ErrorAnswer(body)


def error_response(error: BaygladeError, request: str = "") -> Response:
    """Build the response for an error, with a Retry-After header if the error has one.

    :param error: the error.
    :param request: the id of the request, if it has one.
    :return: the response.
    """
    response = json_response(error_body(error, request), error.status)
    response.headers.append((OUTCOME_HEADER, error.outcome.value))
    if error.retry_after is not None:
        response.headers.append(("Retry-After", str(max(1, round(error.retry_after)))))
    return response


def to_wsgi(
    response: Response, environ: Environ, start_response: StartResponse, close: bool
) -> Iterable[bytes]:
    """Pass a response to the WSGI server.

    :param response: the response.
    :param environ: the environment of the request.
    :param start_response: the callable of the server.
    :param close: whether to ask the caller to close the connection.
    :return: the body for the server to send.
    """
    headers = list(response.headers)
    if close:
        headers.append(("Connection", "close"))
    line = f"{response.status} {REASON_PHRASES.get(response.status, 'Status')}"
    if response.chunks is not None:
        environ["eventlet.minimum_write_chunk_size"] = 0
        start_response(line, headers)
        return response.chunks
    headers.append(("Content-Length", str(len(response.content))))
    start_response(line, headers)
    return [response.content]


class BoundedLines:
    """A file of which no line is longer than a limit, for sizes of chunks and trailers.

    :param file: the file.
    """

    __slots__ = ("file",)

    def __init__(self, file: BinaryIO) -> None:
        self.file = file

    def read(self, size: int) -> bytes:
        """Read a number of bytes; fewer at the end."""
        return self.file.read(size)

    def readline(self) -> bytes:
        """Read a line.

        :raises OSError: if it exceeds the limit.
        """
        line = self.file.readline(MAX_LINE_BYTES)
        if len(line) == MAX_LINE_BYTES:
            raise OSError("the framing of the body exceeds the size limit")
        return line


def read_body(environ: Environ, limit: int, timeout: float) -> bytes:
    """Read the complete body of a request.

    :param environ: the environment of the request.
    :param limit: greatest size in bytes.
    :param timeout: seconds for the whole body.
    :return: the body.
    :raises RequestTooLarge: if it is larger than the limit.
    :raises InvalidRequest: if it was truncated or arrived too slowly.
    :raises HostFull: if there is no memory for it.
    """
    declared = environ.get("CONTENT_LENGTH")
    if declared and int(declared) > limit:
        raise RequestTooLarge(f"the body is larger than {limit} bytes", step="read", peer="caller")
    client: Client = environ[CLIENT_KEY]
    client.enter(ClientState.RECEIVING)
    slow = InvalidRequest("the body arrived too slowly", step="read", peer="caller")
    try:
        with eventlet.Timeout(timeout, slow):
            body = _read_pieces(environ, client, int(declared) if declared else limit + 1)
    except ClientRemoved:
        raise client.clients.refusal() from None
    except (OSError, ValueError) as error:
        raise InvalidRequest("the body cannot be read", step="read", peer="caller") from error
    if declared and len(body) < int(declared):
        raise InvalidRequest("the body was truncated", step="read", peer="caller")
    if len(body) > limit:
        raise RequestTooLarge(f"the body is larger than {limit} bytes", step="read", peer="caller")
    client.begin_service()
    return body


def _read_pieces(environ: Environ, client: Client, size: int) -> bytes:
    """Read a body in pieces, in turn with other clients; each is accounted before the next is read."""
    source, body = environ["wsgi.input"], bytearray()
    source.rfile = BoundedLines(source.rfile)
    piece_bytes = CHUNKED_PIECE_BYTES if source.chunked_input else PIECE_BYTES
    pieces = 0
    while piece := source.read(min(piece_bytes, size - len(body))):
        body += piece
        client.hold_request(len(body) + PIECE_BYTES)
        pieces += 1
        if pieces >= FREE_PIECES:
            # A turn cannot last while bytes are awaited, so the next piece is read after it.
            with client.clients.turns.turn():
                pass
    return bytes(body)


def has_unread_body(environ: Environ) -> bool:
    """Return whether a part of the body of a request was not read."""
    source = environ["eventlet.input"]
    if source.chunked_input:
        return bool(source.chunk_length != 0)
    return bool(source.position < (source.content_length or 0))


class DeliveredBody:
    """The body of a response, accounted as kept for its client until it is delivered.

    :param chunks: its parts.
    :param client: the client.
    """

    __slots__ = ("chunks", "client")

    def __init__(self, chunks: Iterable[bytes], client: Client) -> None:
        self.chunks = chunks
        self.client = client

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts; while one is sent, the client has to read."""
        for chunk in self.chunks:
            self.client.enter(ClientState.SENDING)
            yield chunk
            self.client.enter(ClientState.SERVING)

    def close(self) -> None:
        """Record that nothing is kept any more; the server calls it at the end of each response."""
        close = getattr(self.chunks, "close", None)
        if close is not None:
            close()
        self.client.clients.discard(self.client)


def request_header(environ: Environ, name: str) -> str | None:
    """Return the value of a request header, or None."""
    value: str | None = environ.get("HTTP_" + name.upper().replace("-", "_"))
    return value


def bearer_key(environ: Environ) -> str:
    """Return the bearer key of a request.

    :param environ: the environment of the request.
    :return: the key; empty if there is none.
    """
    scheme, _, key = (request_header(environ, "Authorization") or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
