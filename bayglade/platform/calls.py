"""Headers of calls: as clients send them, as replicas get them, as replicas answer."""

import math
import re

from bayglade.calls import AnswerHead, Call, CallHead, Dialect, Sending
from bayglade.exceptions import InvalidMessage
from bayglade.http1 import Headers, Message, end_to_end_headers
from bayglade.ids import RequestId
from bayglade.logs import event, rate_limited
from bayglade.models import Route

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
KEY = "X-Key"
TOKENS = "X-Token-Counts"
ANSWER_HINT = "Length-Hint"
LAST_EVENT = "Last-Event-Id"
GROUP = "X-Tenant"
INSTANCE = "X-Expect-Instance"
ROUTE = "Path"
PRIORITY = "Priority"
SEAL = "x-response-seal"
NOT_RUN = "x-not-executed"
AT_FAULT = "at-server"
ANSWERING = "x-instance-id"
LEAVING = "server-leaving"
REST = "retry-after"
RATE_LIMIT = "server-limit"
REST_STATUSES = (429, 503)
"""Statuses with which a replica turns requests away; with others, ``Retry-After`` is none of its own."""
DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)
NONSENSE_LINES_PER_SECOND = 0.2
"""A replica may send such a header with each answer; one line in five seconds tells of it."""

KNOWN_ANSWER_HEADERS = frozenset(
    {
        REQUEST_ID.lower(),
        SEAL,
        NOT_RUN,
        AT_FAULT,
        ANSWERING,
        LEAVING,
        REST,
        RATE_LIMIT,
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
"""Headers of answers that are read here, or are known to be of no concern to a router."""
MAX_UNKNOWN_HEADERS = 100
"""Names of unknown headers that are told of: a replica may make up any number."""

OWN_HEADERS = frozenset(
    name.lower() for name in (DEADLINE, KEY, LAST_EVENT, GROUP, INSTANCE, ROUTE, PRIORITY, "Expect-Version")
)
"""Headers that are set here, whatever the client sent."""


def read_call(message: Message) -> CallHead:
    """Read the head of a client's request.

    :param message: the request.
    :return: what it says.
    :raises InvalidMessage: when it has no id or no host, or a figure is none.
    """
    found = {name.lower(): value for name, value in message.headers}
    request, host = found.get(REQUEST_ID.lower()), found.get("host")
    if not request or not host:
        raise InvalidMessage(f"a request needs Host and {REQUEST_ID}", step="read", peer="caller")
    deadline = found.get(DEADLINE.lower())
    try:
        prompt, answer = _tokens(found.get(TOKENS.lower()))
        return CallHead(
            id=RequestId(request),
            host=host,
            key=found.get(KEY.lower()),
            seconds=None if deadline is None else float(deadline) / 1000,
            prompt_tokens=prompt,
            answer_tokens=answer,
            answer_hint=_hint(found.get(ANSWER_HINT.lower())),
            last_event=_event_id(found.get(LAST_EVENT.lower())),
        )
    except ValueError as error:
        raise InvalidMessage(f"a header makes no sense: {error}", step="read", peer="caller") from error


def request_headers(call: Call, sending: Sending) -> Headers:
    """Write the headers of a request to a replica.

    :param call: the client's request.
    :param sending: where it goes, and with how much time.
    :return: the headers, without those of framing.
    """
    passed = [(n, v) for n, v in end_to_end_headers(call.headers) if n.lower() not in OWN_HEADERS]
    passed.append((DEADLINE, str(max(1, int(sending.seconds * 1000)))))
    passed.append((INSTANCE, sending.backend))
    if call.group is not None:
        passed.append((GROUP, call.group))
    if sending.last_event is not None:
        passed.append((LAST_EVENT, str(sending.last_event)))
    if sending.route is not None:
        passed.append((ROUTE, write_route(sending.route)))
    return passed


def write_route(route: Route) -> str:
    """Write the stages of a route as replicas take them.

    :param route: the stages; the last layer of each is excluded.
    :return: the value of the header.
    """
    return ",".join(f"{stage.address}={stage.first}-{stage.last}" for stage in route.stages)


_log_nonsense = rate_limited(NONSENSE_LINES_PER_SECOND)


def read_answer(message: Message) -> AnswerHead:
    """Read the head of a replica's answer.

    :param message: the answer.
    :return: what it says.
    """
    found = {name.lower(): value for name, value in message.headers}
    for name in found.keys() - KNOWN_ANSWER_HEADERS:
        _note_unknown(name, found[name])
    return AnswerHead(
        request=found.get(REQUEST_ID.lower()),
        genuine=SEAL in found,
        not_run=NOT_RUN in found or message.status == 421,
        instance=found.get(ANSWERING),
        at_fault=found.get(AT_FAULT),
        keep_seconds=_keep_seconds(found.get("keep-alive")),
        leaving=found.get(LEAVING) == "1",
        rest_seconds=_rest_seconds(found.get(REST)) if message.status in REST_STATUSES else None,
        rate_limit=_rate_limit(found.get(RATE_LIMIT)),
    )


_unknown_headers: set[str] = set()


def _note_unknown(name: str, value: str) -> None:
    """Log the first answer with a header that is not known here: it may ask something of its caller."""
    if name in _unknown_headers or len(_unknown_headers) >= MAX_UNKNOWN_HEADERS:
        return
    _unknown_headers.add(name)
    event("WARNING", "unknown header in an answer", header=name[:80], value=value[:40])


def create_dialect() -> Dialect:
    """Build the translation of calls on this platform."""
    return Dialect(read_call, request_headers, read_answer)


def _tokens(text: str | None) -> tuple[int, int]:
    """Read ``in,out``: tokens of the prompt and the most that are generated."""
    if text is None:
        return 0, 0
    prompt, _, answer = text.partition(",")
    return int(prompt), int(answer or 0)


def _hint(text: str | None) -> int | None:
    """Read the client's estimate of the tokens out; one that makes no sense is as good as none."""
    return int(text) if text and text.isdigit() else None


def _event_id(text: str | None) -> int | None:
    return int(text) if text and text.isdigit() else None


def _keep_seconds(text: str | None) -> float | None:
    """Read the whole seconds of ``Keep-Alive: timeout=5``."""
    if text is None:
        return None
    digits = "".join(c for c in text.partition("timeout=")[2] or text if c.isdigit())
    return float(digits) if digits else None


def _rest_seconds(text: str | None) -> float | None:
    """Read for how long a replica wants nothing; a value that names no such time asks for none."""
    if text is None:
        return None
    seconds = float(text) if DECIMAL.fullmatch(text.strip()) else 0.0
    if 0.0 < seconds < math.inf:
        return seconds
    _log_nonsense("WARNING", "rest makes no sense", value=text[:40])
    return None


def _rate_limit(text: str | None) -> float | None:
    """Read how many requests a second a replica takes from all machines; zero is a limit too."""
    if text is None:
        return None
    rate = float(text) if DECIMAL.fullmatch(text.strip()) else math.inf
    if rate < math.inf:
        return rate
    _log_nonsense("WARNING", "rate limit makes no sense", value=text[:40])
    return None
