"""Requests and routes as the daemon handles them, independent of the protocol of the caller."""

from enum import Enum

import msgspec

from bayglade.clock import now
from bayglade.engines.wire import Stage
from bayglade.ids import AccountName, GroupPath, ModelName, RequestId, ServiceName, Version
from bayglade.services.wire import ServiceCall

CHARACTERS_PER_TOKEN = 4


class EndReason(Enum):
    """Why a complete answer ended."""

    LENGTH = "length"
    STOP = "stop"


class Request(msgspec.Struct, kw_only=True):
    """Attributes that all requests have; ``deadline`` is in monotonic seconds."""

    id: RequestId
    account: AccountName
    group: GroupPath
    priority: int
    deadline: float
    repeatable: bool = True
    idempotency_key: str | None = None

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self.id} of {self.group!r}>"

    def seconds_left(self) -> float:
        """Return the seconds until the deadline; negative if it has passed."""
        return self.deadline - now()


class Completion(Request, kw_only=True):
    """A completion by a model."""

    model: ModelName
    version: Version
    prompt: str
    max_tokens: int

    @property
    def cost(self) -> float:
        """Return the tokens that this request may take, prompt and answer."""
        return len(self.prompt) / CHARACTERS_PER_TOKEN + self.max_tokens


class ServiceRequest(Request, kw_only=True):
    """A call to a plain service."""

    service: ServiceName
    call: ServiceCall


class Route(msgspec.Struct, frozen=True):
    """The stages of one attempt, in order; together they tile all layers."""

    stages: tuple[Stage, ...]

    def __repr__(self) -> str:
        return "<Route " + " ".join(f"{s.backend}[{s.first},{s.last})" for s in self.stages) + ">"
