"""Messages between a daemon and a model engine: JSON lines over HTTP.

A daemon posts :class:`Generate` to the engine of the first stage and reads
frames, one JSON object a line. Engines pass activations among themselves along
the stages of the order; no activation crosses an entry host.
"""

import msgspec

from bayglade.ids import AttemptNumber, BackendId, ModelName, RequestId, Version

GENERATE_PATH = "/v1/generate"
CANCEL_PATH = "/v1/cancel"
LOAD_PATH = "/v1/load"
ORDER_PATH = "/v1/orders"

MAX_FRAME_BYTES = 64 * 1024


class Stage(msgspec.Struct, frozen=True):
    """One engine of a route and the layers ``[first, last)`` it is told to run."""

    backend: BackendId
    address: str
    first: int
    last: int


class Generate(msgspec.Struct, frozen=True, kw_only=True):
    """Orders one attempt at a completion.

    ``committed`` holds the tokens the caller already has: the attempt goes on
    after them. ``salt`` separates the prefix caches of groups.
    """

    request: RequestId
    attempt: AttemptNumber
    model: ModelName
    version: Version
    salt: str
    prompt: str
    committed: list[str]
    max_tokens: int
    priority: int
    stages: list[Stage]


class Cancel(msgspec.Struct, frozen=True):
    """Stops an attempt and every older one of the same request."""

    request: RequestId
    attempt: AttemptNumber


class Load(msgspec.Struct, frozen=True):
    """What an engine reports of itself, with a lag."""

    running: int
    waiting: int
    slots: int
    leaving: bool = False
    versions: list[Version] = []
    loading: bool = False


class HoldVersion(msgspec.Struct, frozen=True):
    """Orders an engine to hold just one version; an engine that checks refuses older epochs."""

    epoch: int
    model: ModelName
    version: Version


class TokenFrame(msgspec.Struct, frozen=True, tag="token"):
    """One token of an attempt, at its index in the whole answer."""

    request: RequestId
    attempt: AttemptNumber
    index: int
    text: str


class EndFrame(msgspec.Struct, frozen=True, tag="end"):
    """The answer is whole: how many tokens it has and why it ended."""

    request: RequestId
    attempt: AttemptNumber
    count: int
    reason: str
    load: Load | None = None


class ErrorFrame(msgspec.Struct, frozen=True, tag="error"):
    """The attempt ended early at a stage."""

    request: RequestId
    attempt: AttemptNumber
    code: str
    backend: BackendId


Frame = TokenFrame | EndFrame | ErrorFrame

_decoder: msgspec.json.Decoder[Frame] = msgspec.json.Decoder(Frame)


def decode_frame(line: bytes) -> Frame:
    """Read one line of a stream.

    :param line: JSON, without the line end.
    :return: the frame.
    :raises msgspec.DecodeError: when the line is no frame.
    """
    return _decoder.decode(line)
