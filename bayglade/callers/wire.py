"""Messages between callers and a daemon: the usual completion shapes over HTTP.

Streams are server-sent events that end with ``data: [DONE]`` or with an
``error`` event; a stream that ends with neither was cut.
"""

import time
from typing import Literal

import msgspec

from bayglade.exceptions import BaygladeError, InvalidRequest
from bayglade.responses import error_body

DONE = b"data: [DONE]\n\n"
MAX_TOKENS = 8192
MAX_KEY_CHARACTERS = 200
KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "Bayglade-Repeatable"
DEADLINE_HEADER = "Bayglade-Deadline"
STREAM_TYPE = "text/event-stream"


class CompletionBody(msgspec.Struct, kw_only=True):
    """The body of ``POST /v1/completions``; unknown fields are passed over."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, kw_only=True):
    """The body of ``POST /v1/chat/completions``."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int = 16
    stream: bool = False


class ChatDelta(msgspec.Struct, omit_defaults=True):
    """A piece of a chat answer."""

    content: str | None = None
    role: str | None = None


class Choice(msgspec.Struct, omit_defaults=True):
    """The one choice of an answer or of a piece of it."""

    index: int
    text: str | None = None
    message: ChatMessage | None = None
    delta: ChatDelta | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Tokens that an answer took."""

    completion_tokens: int


class Completion(msgspec.Struct, omit_defaults=True):
    """An answer, or a piece of a streamed one."""

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    usage: Usage | None = None


class ModelEntry(msgspec.Struct):
    """One line of ``GET /v1/models``."""

    id: str
    object: Literal["model"] = "model"


class ModelList(msgspec.Struct):
    """The answer of ``GET /v1/models``."""

    data: list[ModelEntry]
    object: Literal["list"] = "list"


class Ask(msgspec.Struct):
    """What a caller asks of a model, from either body."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool


def decode_ask(body: bytes, chat: bool) -> Ask:
    """Read the body of a completion.

    :param body: JSON.
    :param chat: whether it came by the chat path.
    :return: what is asked.
    :raises InvalidRequest: naming the field that is wrong.
    """
    try:
        if chat:
            ask = _from_chat(msgspec.json.decode(body, type=ChatBody))
        else:
            plain = msgspec.json.decode(body, type=CompletionBody)
            ask = Ask(plain.model, plain.prompt, plain.max_tokens, plain.stream, False)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRequest(str(error), step="read", peer="caller") from error
    if not 1 <= ask.max_tokens <= MAX_TOKENS:
        message = f"max_tokens must lie between 1 and {MAX_TOKENS}"
        raise InvalidRequest(message, step="read", peer="caller")
    return ask


def _from_chat(body: ChatBody) -> Ask:
    # Roles and contents are framed by length, so that no content can pass for a role.
    prompt = "".join(f"{m.role}:{len(m.content)}:{m.content}\n" for m in body.messages)
    return Ask(body.model, prompt, body.max_tokens, body.stream, True)


class Writer:
    """Writes the answer to one request in the shape its path asks for."""

    def __init__(self, request: str, ask: Ask) -> None:
        self.request = request
        self.ask = ask
        self.created = int(time.time())

    def __repr__(self) -> str:
        return f"<Writer {self.request}>"

    def token(self, text: str) -> bytes:
        """Write one token as an event."""
        if self.ask.chat:
            return self._event(Choice(0, delta=ChatDelta(text)))
        return self._event(Choice(0, text=text))

    def end(self, reason: str) -> bytes:
        """Write the explicit end of a stream."""
        delta = ChatDelta() if self.ask.chat else None
        return self._event(Choice(0, delta=delta, finish_reason=reason)) + DONE

    def error(self, error: BaygladeError) -> bytes:
        """Write the explicit error that ends a stream early."""
        body = msgspec.json.encode(error_body(error, self.request))
        return b"event: error\ndata: " + body + b"\n\n"

    def whole(self, tokens: list[str], reason: str) -> bytes:
        """Write a whole answer that is not streamed."""
        text = "".join(tokens)
        choice = Choice(0, text=text, finish_reason=reason)
        if self.ask.chat:
            message = ChatMessage("assistant", text)
            choice = Choice(0, message=message, finish_reason=reason)
        kind = "chat.completion" if self.ask.chat else "text_completion"
        return msgspec.json.encode(self._completion(kind, choice, Usage(len(tokens))))

    def _event(self, choice: Choice) -> bytes:
        kind = "chat.completion.chunk" if self.ask.chat else "text_completion"
        return b"data: " + msgspec.json.encode(self._completion(kind, choice, None)) + b"\n\n"

    def _completion(self, kind: str, choice: Choice, usage: Usage | None) -> Completion:
        return Completion(self.request, kind, self.created, self.ask.model, [choice], usage)
