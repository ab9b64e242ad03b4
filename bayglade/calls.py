"""Calls: what callers ask of an endpoint, and how a peer's wire says it."""

from collections.abc import Callable

import msgspec

from bayglade.clock import now
from bayglade.endpoints import Endpoint
from bayglade.http1 import Headers, Message
from bayglade.ids import BackendId, Fingerprint, GroupPath, RequestId, ServiceName
from bayglade.models import Route
from bayglade.pipelines import Demand, Pipeline


class CallHead(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of a caller's request says."""

    id: RequestId
    host: str
    key: str | None = None
    seconds: float | None = None
    """How long the caller waits."""

    prompt_tokens: int = 0
    answer_tokens: int = 0
    """Tokens that the answer has at most."""

    answer_hint: int | None = None
    """Tokens that the caller expects; right in the median, and often far off."""

    last_event: int | None = None
    """The event after which a stream goes on."""


class Call(msgspec.Struct, kw_only=True):
    """A caller's request on its way; times are monotonic seconds."""

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
    fingerprint: Fingerprint | None = None
    """Names what it asks; worked out when it is first needed."""

    def __repr__(self) -> str:
        return f"<Call {self.head.id} to {self.service}>"

    @property
    def once(self) -> bool:
        """Tell whether it may run at most once."""
        return not self.endpoint.repeatable and not self.endpoint.resumable

    def seconds_left(self) -> float:
        """Return the seconds until the deadline; negative when it has passed."""
        return self.deadline - now()


def demand_of(call: Call, pipeline: Pipeline) -> Demand:
    """Return what a call asks of a model, as far as it is known before its answer.

    :param call: the call.
    :param pipeline: facts of the model, with the usual size of requests.
    """
    head = call.head
    if not head.prompt_tokens:
        return pipeline.typical_request()
    expected = head.answer_hint if head.answer_hint is not None else pipeline.typical_answer
    return Demand(float(head.prompt_tokens), float(min(head.answer_tokens, expected)))


class Sending(msgspec.Struct, frozen=True, kw_only=True):
    """One sending of a call to a backend server."""

    backend: BackendId
    seconds: float
    route: Route | None = None
    last_event: int | None = None


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of a backend server's answer says."""

    request: str | None
    genuine: bool
    """Whether the server vouches for it as its own answer to a request that it ran."""

    not_run: bool
    """Whether the server says that it did not run the request."""

    instance: str | None = None
    """The server's own id, where it says it."""

    at_fault: str | None = None
    """Address of the stage that did not take part."""

    keep_seconds: float | None = None
    """How long the server keeps the connection."""

    leaving: bool = False
    """Whether the server says that it is about to end."""

    rest_seconds: float | None = None
    """For how long the server wants no more requests, where it turned this one away."""

    rate_limit: float | None = None
    """Requests a second that the server takes from all daemons together; nothing when it names no limit."""


class Dialect(msgspec.Struct, frozen=True):
    """How callers and backend servers speak: plain functions that translate."""

    read_call: Callable[[Message], CallHead]
    """Raises InvalidMessage when the head lacks what every call needs."""

    request_headers: Callable[[Call, Sending], Headers]
    read_answer: Callable[[Message], AnswerHead]
