"""HTTP requests and responses as handlers see them, over WSGI."""

from collections.abc import Callable, Iterable
from typing import Any

import eventlet
import msgspec

from bayglade.exceptions import BaygladeError, InvalidRequest, RequestTooLarge

Environ = dict[str, Any]
"""The environment of a WSGI request (PEP 3333)."""

StartResponse = Callable[..., Any]

JSON_TYPE = "application/json"
OUTCOME_HEADER = "Bayglade-Outcome"
REQUEST_HEADER = "Bayglade-Request"

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
    """What callers and operators are told of an error."""

    code: str
    message: str
    step: str
    peer: str
    outcome: str
    request: str = ""
    retry_after: float | None = None


class ErrorAnswer(msgspec.Struct, frozen=True):
    """The one JSON shape of all errors."""

    error: ErrorBody


class Response(msgspec.Struct, kw_only=True):
    """An answer: its status, its headers and its content or a stream of pieces."""

    status: int
    headers: list[tuple[str, str]]
    content: bytes = b""
    chunks: Iterable[bytes] | None = None

    def __repr__(self) -> str:
        return f"<Response {self.status}>"


def json_response(value: object, status: int = 200) -> Response:
    """Build a JSON answer.

    :param value: anything msgspec can encode.
    :param status: the HTTP status.
    :return: the answer.
    """
    return Response(
        status=status, headers=[("Content-Type", JSON_TYPE)], content=msgspec.json.encode(value)
    )


def error_body(error: BaygladeError, request: str = "") -> ErrorAnswer:
    """Describe an error to the other side.

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
    """Build the answer for an error, with when to come back where that helps.

    :param error: the error.
    :param request: the id of the request, if it has one.
    :return: the answer.
    """
    response = json_response(error_body(error, request), error.status)
    response.headers.append((OUTCOME_HEADER, error.outcome.value))
    if error.retry_after is not None:
        response.headers.append(("Retry-After", str(max(1, round(error.retry_after)))))
    return response


def to_wsgi(
    response: Response, environ: Environ, start_response: StartResponse, close: bool
) -> Iterable[bytes]:
    """Hand an answer to the WSGI server.

    :param response: the answer.
    :param environ: the request's environment.
    :param start_response: the server's callable.
    :param close: ask the caller to open a new connection next time.
    :return: what the server sends.
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


def read_body(environ: Environ, limit: int, timeout: float) -> bytes:
    """Read the whole body of a request, or nothing of it counts.

    :param environ: the request's environment.
    :param limit: bytes at most.
    :param timeout: seconds for all of it.
    :return: the body.
    :raises RequestTooLarge: when it is above the limit.
    :raises InvalidRequest: when it was cut short or came too slowly.
    """
    declared = environ.get("CONTENT_LENGTH")
    if declared and int(declared) > limit:
        raise RequestTooLarge(f"the body is above {limit} bytes", step="read", peer="caller")
    slow = InvalidRequest("the body came too slowly", step="read", peer="caller")
    try:
        with eventlet.Timeout(timeout, slow):
            body: bytes = environ["wsgi.input"].read(int(declared) if declared else limit + 1)
    except (OSError, ValueError) as error:
        raise InvalidRequest("the body is broken", step="read", peer="caller") from error
    if declared and len(body) < int(declared):
        raise InvalidRequest("the body was cut short", step="read", peer="caller")
    if len(body) > limit:
        raise RequestTooLarge(f"the body is above {limit} bytes", step="read", peer="caller")
    return body


def request_header(environ: Environ, name: str) -> str | None:
    """Return a request header, or nothing."""
    value: str | None = environ.get("HTTP_" + name.upper().replace("-", "_"))
    return value


def bearer_key(environ: Environ) -> str:
    """Return the key that a request carries.

    :param environ: the request's environment.
    :return: the key; empty when there is none.
    """
    scheme, _, key = (request_header(environ, "Authorization") or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
