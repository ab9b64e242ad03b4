"""Messages between a daemon and a model engine: JSON lines over HTTP.

A daemon posts :class:`Generate` to the engine of the first stage and reads
frames, one JSON object per line. The engines pass activations directly to one
another along the stages of the order, so none passes through an entry host.
"""

import msgspec

from bayglade.ids import AttemptNumber, BackendId, ModelName, RequestId, Version

GENERATE_PATH = "/v1/generate"
CANCEL_PATH = "/v1/cancel"
LOAD_PATH = "/v1/load"
ORDER_PATH = "/v1/orders"

MAX_FRAME_BYTES = 64 * 1024


class Stage(msgspec.Struct, frozen=True):
    """An engine of a route and the layers ``[first, last)`` that it runs."""

    backend: BackendId
    address: str
    first: int
    last: int


class Generate(msgspec.Struct, frozen=True, kw_only=True):
    """Order to run one attempt at a completion.

    ``committed`` holds the tokens that the caller already has; the attempt
    continues after them. ``salt`` keeps the prefix caches of groups separate.
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
    """Cancels an attempt and all earlier attempts at the same request."""

    request: RequestId
    attempt: AttemptNumber


class Load(msgspec.Struct, frozen=True):
    """An engine's report of its own load; it may be slightly outdated."""

    running: int
    waiting: int
    slots: int
    leaving: bool = False
    versions: list[Version] = []
    loading: bool = False


class HoldVersion(msgspec.Struct, frozen=True):
    """Order to hold exactly one version. Engines that check orders refuse those with an older epoch."""

    epoch: int
    model: ModelName
    version: Version


class TokenFrame(msgspec.Struct, frozen=True, tag="token"):
    """One token of an attempt, with its index in the whole answer."""

    request: RequestId
    attempt: AttemptNumber
    index: int
    text: str


class EndFrame(msgspec.Struct, frozen=True, tag="end"):
    """End of a complete answer, with its number of tokens and the reason why it ended."""

    request: RequestId
    attempt: AttemptNumber
    count: int
    reason: str
    load: Load | None = None


class ErrorFrame(msgspec.Struct, frozen=True, tag="error"):
    """The attempt failed at a stage."""

    request: RequestId
    attempt: AttemptNumber
    code: str
    backend: BackendId


Frame = TokenFrame | EndFrame | ErrorFrame

_decoder: msgspec.json.Decoder[Frame] = msgspec.json.Decoder(Frame)


def decode_frame(line: bytes) -> Frame:
    """Decode one line of a stream.

    :param line: JSON, without the line terminator.
    :return: the frame.
    :raises Exception: of any type, if the line is not a valid frame.
    """
    return _decoder.decode(line)
