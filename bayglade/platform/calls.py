"""Headers of calls: requests from callers, requests to backend servers, and the servers' answers."""

import math
import re

from bayglade.calls import AnswerHead, Call, CallHead, Dialect, Sending
from bayglade.decoding import whole_number
from bayglade.exceptions import InvalidMessage
from bayglade.http1 import Headers, Message, end_to_end_headers
from bayglade.ids import PromptPartId, RequestId
from bayglade.logs import event, rate_limited
from bayglade.models import Route

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "X-Key"
TOKEN_COUNTS_HEADER = "X-Token-Counts"
PROMPT_PARTS_HEADER = "X-Prompt-Prefix"
LENGTH_HINT_HEADER = "Length-Hint"
LAST_EVENT_HEADER = "Last-Event-Id"
TENANT_HEADER = "X-Tenant"
EXPECTED_INSTANCE_HEADER = "X-Expect-Instance"
ROUTE_HEADER = "Path"
PRIORITY_HEADER = "Priority"
SEAL_HEADER = "x-response-seal"
NOT_EXECUTED_HEADER = "x-not-executed"
AT_FAULT_HEADER = "at-server"
INSTANCE_ID_HEADER = "x-instance-id"
LEAVING_HEADER = "server-leaving"
RETRY_AFTER_HEADER = "retry-after"
RATE_LIMIT_HEADER = "server-limit"
REJECTION_STATUSES = (429, 503)
"""Statuses with which a server rejects a request. With any other status, ``Retry-After`` is not the
server's own and is ignored."""
MAX_SHARED_PARTS = 32
"""Limit on the parts of a prompt that are told apart; a caller may name any number of them."""
DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)
INVALID_HEADER_LOGS_PER_SECOND = 0.2
"""A server may send an invalid header with every answer; it is logged at most once in five seconds."""

KNOWN_ANSWER_HEADERS = frozenset(
    {
        REQUEST_ID_HEADER.lower(),
        SEAL_HEADER,
        NOT_EXECUTED_HEADER,
        AT_FAULT_HEADER,
        INSTANCE_ID_HEADER,
        LEAVING_HEADER,
        RETRY_AFTER_HEADER,
        RATE_LIMIT_HEADER,
        "keep-alive",
        "versions",
        "connection",
        "content-length",
        "content-type",
        "transfer-encoding",
        "cache-control",
        "date",
        "server",
    }
)
"""Headers of answers that are either parsed here or known not to matter to a router."""
MAX_UNKNOWN_HEADERS = 100
"""Limit on the unknown header names that are logged: a server may invent any number of them."""

ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_HEADER,
        KEY_HEADER,
        TENANT_HEADER,
        EXPECTED_INSTANCE_HEADER,
        ROUTE_HEADER,
        PRIORITY_HEADER,
        "Expect-Version",
    )
)
"""Headers that the router sets itself; those of the caller are dropped."""


def read_call(message: Message) -> CallHead:
    """Parse the head of a caller's request.

    :param message: the request.
    :raises InvalidMessage: if the id or the host is missing, or a numeric header is not a number.
    """
    found = {name.lower(): value for name, value in message.headers}
    request, host = found.get(REQUEST_ID_HEADER.lower()), found.get("host")
    if not request or not host:
        raise InvalidMessage(f"a request needs Host and {REQUEST_ID_HEADER}", step="read", peer="caller")
    deadline = found.get(DEADLINE_HEADER.lower())
    try:
        prompt, answer = _token_counts(found.get(TOKEN_COUNTS_HEADER.lower()))
        return CallHead(
            id=RequestId(request),
            host=host,
            key=found.get(KEY_HEADER.lower()),
            timeout_seconds=None if deadline is None else float(deadline) / 1000,
            prompt_tokens=prompt,
            max_answer_tokens=answer,
            expected_answer_tokens=_length_hint(found.get(LENGTH_HINT_HEADER.lower())),
            last_event=_event_id(found.get(LAST_EVENT_HEADER.lower())),
            shared_parts=_shared_parts(found.get(PROMPT_PARTS_HEADER.lower())),
        )
    except ValueError as error:
        raise InvalidMessage(f"invalid header value: {error}", step="read", peer="caller") from error


def request_headers(call: Call, sending: Sending) -> Headers:
    """Build the headers of a request to a backend server.

    :param call: the caller's request.
    :param sending: the server to send it to, and the time left.
    :return: the headers, without those that frame the body.
    """
    replaced = (
        ROUTER_HEADERS if sending.last_event is None else ROUTER_HEADERS | {LAST_EVENT_HEADER.lower()}
    )
    passed = [(n, v) for n, v in end_to_end_headers(call.headers) if n.lower() not in replaced]
    passed.append((DEADLINE_HEADER, str(max(1, int(sending.seconds * 1000)))))
    passed.append((EXPECTED_INSTANCE_HEADER, sending.backend))
    if call.group is not None:
        passed.append((TENANT_HEADER, call.group))
    if sending.last_event is not None:
        passed.append((LAST_EVENT_HEADER, str(sending.last_event)))
    if sending.route is not None:
        passed.append((ROUTE_HEADER, write_route(sending.route)))
    return passed


def write_route(route: Route) -> str:
    """Format the stages of a route for backend servers.

    :param route: the stages; the ``last`` layer of each is excluded.
    :return: the value of the header.
    """
    return ",".join(f"{stage.address}={stage.first}-{stage.last}" for stage in route.stages)


_log_invalid_header = rate_limited(INVALID_HEADER_LOGS_PER_SECOND)


def read_answer(message: Message) -> AnswerHead:
    """Parse the head of a backend server's answer.

    :param message: the answer.
    """
    found = {name.lower(): value for name, value in message.headers}
    for name in found.keys() - KNOWN_ANSWER_HEADERS:
        _log_unknown_header(name, found[name])
    return AnswerHead(
        request=found.get(REQUEST_ID_HEADER.lower()),
        authentic=SEAL_HEADER in found,
        not_run=NOT_EXECUTED_HEADER in found or message.status == 421,
        instance_id=found.get(INSTANCE_ID_HEADER),
        at_fault=found.get(AT_FAULT_HEADER),
        keep_alive_seconds=_keep_alive_seconds(found.get("keep-alive")),
        leaving=found.get(LEAVING_HEADER) == "1",
        rest_seconds=_rest_seconds(found.get(RETRY_AFTER_HEADER))
        if message.status in REJECTION_STATUSES
        else None,
        rate_limit=_rate_limit(found.get(RATE_LIMIT_HEADER)),
    )


_unknown_headers: set[str] = set()


def _log_unknown_header(name: str, value: str) -> None:
    """Log an unknown header of an answer once: it may ask something of the client."""
    if name in _unknown_headers or len(_unknown_headers) >= MAX_UNKNOWN_HEADERS:
        return
    _unknown_headers.add(name)
    event("WARNING", "unknown header in an answer", header=name[:80], value=value[:40])


def create_dialect() -> Dialect:
    """Return the functions that translate calls for this platform."""
    return Dialect(read_call, request_headers, read_answer)


def _token_counts(text: str | None) -> tuple[int, int]:
    """Parse ``in,out``: the tokens of the prompt and the maximum number of generated tokens."""
    if text is None:
        return 0, 0
    prompt, _, answer = text.partition(",")
    return int(prompt), int(answer or 0)


def _shared_parts(text: str | None) -> tuple[PromptPartId, ...]:
    """Parse ``ID:TOKENS,ID:TOKENS,...``, the parts of a prompt; the last one belongs to the request itself.

    Malformed entries are ignored: a prompt is passed on as it is.
    """
    if text is None or "," not in text:
        return ()
    names = (entry.partition(":")[0].strip() for entry in text.split(",")[:-1])
    parts = dict.fromkeys(PromptPartId(name) for name in names if name)
    return tuple(parts)[:MAX_SHARED_PARTS]


def _length_hint(text: str | None) -> int | None:
    """Parse the caller's estimate of the answer's tokens; an invalid one is ignored."""
    return whole_number(text or "")


def _event_id(text: str | None) -> int | None:
    return whole_number(text or "")


def _keep_alive_seconds(text: str | None) -> float | None:
    """Parse the whole seconds of ``Keep-Alive: timeout=5``."""
    if text is None:
        return None
    digits = "".join(c for c in text.partition("timeout=")[2] or text if c.isascii() and c.isdigit())
    return float(digits) if digits else None


def _rest_seconds(text: str | None) -> float | None:
    """Parse for how long a server wants no requests; a value that is not a positive number is ignored."""
    if text is None:
        return None
    seconds = float(text) if DECIMAL.fullmatch(text.strip()) else 0.0
    if 0.0 < seconds < math.inf:
        return seconds
    _log_invalid_header("WARNING", "rest makes no sense", value=text[:40])
    return None


def _rate_limit(text: str | None) -> float | None:
    """Parse how many requests per second a server accepts from all daemons; zero is a valid limit."""
    if text is None:
        return None
    rate = float(text) if DECIMAL.fullmatch(text.strip()) else math.inf
    if rate < math.inf:
        return rate
    _log_invalid_header("WARNING", "rate limit makes no sense", value=text[:40])
    return None
