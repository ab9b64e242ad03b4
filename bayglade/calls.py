"""Calls of callers to endpoints, and their translation to and from the HTTP of either side."""

from collections.abc import Callable, Sequence

import msgspec

from bayglade.clock import now
from bayglade.endpoints import Endpoint
from bayglade.http1 import Headers, Message
from bayglade.ids import BackendId, Fingerprint, GroupPath, PromptPartId, RequestId, ServiceName
from bayglade.models import Route
from bayglade.pipelines import Demand, Pipeline


class CallHead(msgspec.Struct, frozen=True, kw_only=True):
    """The parsed head of a caller's request."""

    id: RequestId
    host: str
    key: str | None = None
    timeout_seconds: float | None = None
    """How long the caller waits for the answer."""

    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    """Greatest number of tokens in the answer."""

    expected_answer_tokens: int | None = None
    """The caller's estimate of the answer's tokens; right in the median, but often far off."""

    last_event: int | None = None
    """The event after which a stream is resumed."""

    shared_parts: tuple[PromptPartId, ...] = ()
    """The parts of the prompt that other requests may share, without duplicates."""


class Call(msgspec.Struct, kw_only=True):
    """A caller's request in progress; times are monotonic seconds."""

    head: CallHead
    endpoint: Endpoint
    service: ServiceName
    group: GroupPath | None
    priority: int
    arrived: float
    deadline: float
    method: str
    target: bytes
    headers: Headers
    body: bytes
    revision: int = 0
    """The settings by which it was read, and its key was checked."""

    fingerprint: Fingerprint | None = None
    """Identifies the content of the request; computed when first needed."""

    part_fingerprints: tuple[Fingerprint, ...] | None = None
    """Identify the shared parts of the prompt; computed when first needed."""

    trial_of: Fingerprint | None = None
    """The stopped part of its prompt that is tried again with this call."""

    forwarded: bool = False
    """Whether another daemon forwarded it; it is not forwarded again."""

    must_forward: bool = False
    """Whether newer settings than those by which it was read are known to be in force."""

    earlier_servers: Sequence[BackendId] = ()
    """Servers that it may have been sent to before, by any other daemon."""

    sent_before: bool = False
    """Whether it may have reached a server before, sent by another daemon."""

    confirm_send: Callable[[BackendId], None] = lambda backend: None
    """Called before each send to a backend server. Raises CallerDisconnected if nobody waits for the answer
    any more; may bring the deadline forward."""

    hold_answer: Callable[[int], None] = lambda size: None
    """Called with the bytes that are kept of the answer. Raises AnswersFull if there is no memory for
    them."""

    def __repr__(self) -> str:
        return f"<Call {self.head.id} to {self.service}>"

    @property
    def at_most_once(self) -> bool:
        """Whether the call must not be run more than once."""
        return not self.endpoint.repeatable and not self.endpoint.resumable

    def seconds_left(self) -> float:
        """Return the seconds until the deadline; negative when it has passed."""
        return self.deadline - now()


def demand_of(call: Call, pipeline: Pipeline) -> Demand:
    """Return the expected size of a call, as far as it is known before the answer.

    :param call: the call.
    :param pipeline: facts of the model, with the typical size of requests.
    """
    head = call.head
    if not head.prompt_tokens:
        return pipeline.typical_request()
    expected = (
        head.expected_answer_tokens if head.expected_answer_tokens is not None else pipeline.typical_answer
    )
    return Demand(float(head.prompt_tokens), float(min(head.max_answer_tokens, expected)))


class Sending(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one send of a call to a backend server."""

    backend: BackendId
    seconds: float
    route: Route | None = None
    last_event: int | None = None
    """The event after which a stream is resumed; if None, what the caller asked for is passed on."""


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """The parsed head of a backend server's answer."""

    request: str | None
    authentic: bool
    """Whether the server vouches for it as its answer to a request that it ran."""

    not_run: bool
    """Whether the server states that it did not run the request."""

    instance_id: str | None = None
    """The id that the server gives for itself, if any."""

    at_fault: str | None = None
    """Address of the stage that did not take part, if any."""

    keep_alive_seconds: float | None = None
    """The keep-alive timeout of the server, if it names one."""

    leaving: bool = False
    """Whether the server announces that it is about to terminate."""

    rest_seconds: float | None = None
    """For how long the server wants no further requests, if it rejected this one."""

    rate_limit: float | None = None
    """Requests per second that the server accepts from all daemons together; None if it names no limit."""


class Dialect(msgspec.Struct, frozen=True):
    """Functions that translate between calls and the HTTP messages of callers and backend servers."""

    read_call: Callable[[Message], CallHead]
    """Raises InvalidMessage if the head lacks a field that every call needs."""

    request_headers: Callable[[Call, Sending], Headers]
    read_answer: Callable[[Message], AnswerHead]
