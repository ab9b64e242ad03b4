"""Messages between callers and a daemon: a subset of the OpenAI completion formats over HTTP.

Streams are server-sent events that end with ``data: [DONE]`` or with an
``error`` event; a stream that ends with neither was interrupted.
"""

import time
from typing import Literal

import msgspec

from bayglade.exceptions import BaygladeError, InvalidRequest
from bayglade.responses import error_body

DONE = b"data: [DONE]\n\n"
MAX_TOKENS = 8192
MAX_KEY_CHARACTERS = 200
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "Bayglade-Repeatable"
DEADLINE_HEADER = "Bayglade-Deadline"
STREAM_TYPE = "text/event-stream"


class CompletionBody(msgspec.Struct, kw_only=True):
    """The body of ``POST /v1/completions``; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False


class ChatMessage(msgspec.Struct):
    """A message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, kw_only=True):
    """The body of ``POST /v1/chat/completions``."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int = 16
    stream: bool = False


class ChatDelta(msgspec.Struct, omit_defaults=True):
    """The part of a chat answer that one event of a stream carries."""

    content: str | None = None
    role: str | None = None


class Choice(msgspec.Struct, omit_defaults=True):
    """The only choice of an answer, or of one event of a stream."""

    index: int
    text: str | None = None
    message: ChatMessage | None = None
    delta: ChatDelta | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Number of tokens in an answer."""

    completion_tokens: int


class Completion(msgspec.Struct, omit_defaults=True):
    """A whole answer, or one event of a streamed answer."""

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    usage: Usage | None = None


class ModelEntry(msgspec.Struct):
    """An entry of ``GET /v1/models``."""

    id: str
    object: Literal["model"] = "model"


class ModelList(msgspec.Struct):
    """The response body of ``GET /v1/models``."""

    data: list[ModelEntry]
    object: Literal["list"] = "list"


class CompletionParams(msgspec.Struct):
    """Parameters of a completion, from the body of either path."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool


def decode_params(body: bytes, chat: bool) -> CompletionParams:
    """Decode and validate the body of a completion request.

    :param body: the JSON body.
    :param chat: whether the request came to the chat path.
    :return: the parameters of the completion.
    :raises InvalidRequest: if the body is invalid; the message names the field.
    """
    try:
        if chat:
            params = _from_chat(msgspec.json.decode(body, type=ChatBody))
        else:
            plain = msgspec.json.decode(body, type=CompletionBody)
            params = CompletionParams(plain.model, plain.prompt, plain.max_tokens, plain.stream, False)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRequest(str(error), step="read", peer="caller") from error
    if not 1 <= params.max_tokens <= MAX_TOKENS:
        message = f"max_tokens must be between 1 and {MAX_TOKENS}"
        raise InvalidRequest(message, step="read", peer="caller")
    return params


def _from_chat(body: ChatBody) -> CompletionParams:
    # The length prefix prevents content from being mistaken for another message with its own role.
    prompt = "".join(f"{m.role}:{len(m.content)}:{m.content}\n" for m in body.messages)
    return CompletionParams(body.model, prompt, body.max_tokens, body.stream, True)


class AnswerWriter:
    """Encodes the answer to one request in the format of its path, plain or chat."""

    def __init__(self, request: str, params: CompletionParams) -> None:
        self.request = request
        self.params = params
        self.created = int(time.time())

    def __repr__(self) -> str:
        return f"<AnswerWriter {self.request}>"

    def token(self, text: str) -> bytes:
        """Return the event for one token."""
        if self.params.chat:
            return self._event(Choice(0, delta=ChatDelta(text)))
        return self._event(Choice(0, text=text))

    def end(self, reason: str) -> bytes:
        """Return the events that end a complete stream."""
        delta = ChatDelta() if self.params.chat else None
        return self._event(Choice(0, delta=delta, finish_reason=reason)) + DONE

    def error(self, error: BaygladeError) -> bytes:
        """Return the ``error`` event that ends a stream early."""
        body = msgspec.json.encode(error_body(error, self.request))
        return b"event: error\ndata: " + body + b"\n\n"

    def whole(self, tokens: list[str], reason: str) -> bytes:
        """Return the body of an answer that is not streamed."""
        text = "".join(tokens)
        choice = Choice(0, text=text, finish_reason=reason)
        if self.params.chat:
            message = ChatMessage("assistant", text)
            choice = Choice(0, message=message, finish_reason=reason)
        kind = "chat.completion" if self.params.chat else "text_completion"
        return msgspec.json.encode(self._completion(kind, choice, Usage(len(tokens))))

    def _event(self, choice: Choice) -> bytes:
        kind = "chat.completion.chunk" if self.params.chat else "text_completion"
        return b"data: " + msgspec.json.encode(self._completion(kind, choice, None)) + b"\n\n"

    def _completion(self, kind: str, choice: Choice, usage: Usage | None) -> Completion:
        return Completion(self.request, kind, self.created, self.params.model, [choice], usage)
