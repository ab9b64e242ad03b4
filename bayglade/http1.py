"""Incremental parser and writer for HTTP/1.1 messages.

Parsing is left to httptools (llhttp in strict mode), which rejects repeated Content-Length headers,
messages with both Content-Length and Transfer-Encoding, and malformed chunks. This module adds size
limits, and splits what a connection receives into messages.
"""

from collections import deque

import httptools

from bayglade.exceptions import HeadTooLarge, InvalidMessage, RequestTooLarge

Headers = list[tuple[str, str]]
"""Names and values as received, in order; the case of names is preserved."""

DAEMON_HEADER_PREFIX = "bayglade-"
PER_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Hop-by-hop headers (RFC 9110, 7.6.1) and framing headers, which each connection sets anew."""

FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header field besides its name and value: the colon, the space and the line end."""
FIELD_MEMORY_BYTES = 200
"""Memory of a parsed header field besides its name and value: two strings and a tuple."""
MESSAGE_MEMORY_BYTES = 1024
"""Memory of a parsed message besides its fields and its body."""
END_OF_PART = b"\r\n\r\n"
"""Ends each head, and each body in chunks."""
MAX_COPIED_BYTES = 16 * 1024
"""Size of a body up to which a copy costs less than a second send."""
BODILESS_STATUSES = (204, 304)
MIN_STATUS, MAX_STATUS = 100, 599
"""Statuses that HTTP defines (RFC 9110, section 15); a message with another one is no response."""
SWITCHING_PROTOCOLS = 101
"""A status that nobody here asks for."""


class Message:
    """An HTTP message: its head, and its body as it arrives: of a request in one buffer, of a response in
    pieces.
    """

    __slots__ = (
        "buffer",
        "chunked",
        "complete",
        "head_complete",
        "headers",
        "keep_alive",
        "length",
        "method",
        "pieces",
        "status",
        "target",
    )

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.status = 0
        self.headers: Headers = []
        self.pieces: deque[bytes] = deque()
        self.buffer = bytearray()
        self.length: int | None = None
        self.chunked = False
        self.keep_alive = True
        self.head_complete = False
        self.complete = False

    def __repr__(self) -> str:
        return f"<Message {self.method or self.status} complete={self.complete}>"

    @property
    def delimited_by_close(self) -> bool:
        """Whether the body of this response is delimited only by the end of the connection."""
        bodiless = self.status < 200 or self.status in BODILESS_STATUSES
        return self.length is None and not self.chunked and not bodiless

    def header(self, name: str) -> str | None:
        """Return the first value of a header.

        :param name: the header name in lower case.
        :return: its value, or ``None`` if the header is missing.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    def take_body(self) -> bytes:
        """Return the body of a request, and keep it no longer."""
        body, self.buffer = bytes(self.buffer), bytearray()
        return body


class MessageParser:
    """Parses the bytes of a connection into messages.

    :param responses: whether the peer sends responses rather than requests.
    :param max_head_bytes: size limit of a head, in bytes.
    :param max_body_bytes: size limit of a body, in bytes; ``None`` for no limit, as for responses.
    """

    def __init__(
        self, responses: bool, max_head_bytes: int = 64 * 1024, max_body_bytes: int | None = None
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.framing_bytes = 0
        """Bytes read inside a body since its last content: chunk sizes and extensions, and trailers."""

        self.has_content = False
        """Whether the bytes read last completed a head or brought content of a body."""

        self.messages: deque[Message] = deque()
        self.current: Message | None = None
        self.head_bytes = 0
        """Bytes read since the last complete head."""

        self.field_bytes = 0
        """Bytes of the fields of the current head; also limits a head that is received in a single read."""

        self.field_count = 0
        """Fields of the current head."""

        self.body_bytes = 0
        self.fed_last = b""
        """The last bytes that were parsed, which may be the beginning of ``END_OF_PART``."""

        self.is_request = not responses
        self.parser: httptools.HttpRequestParser | httptools.HttpResponseParser
        self.parser = httptools.HttpResponseParser(self) if responses else httptools.HttpRequestParser(self)

    def __repr__(self) -> str:
        return f"<MessageParser {len(self.messages)} messages>"

    def kept_bytes(self) -> int:
        """Return about how many bytes of memory the message that is being received takes."""
        if not self.messages:
            return self.head_bytes
        fields = self.field_bytes + FIELD_MEMORY_BYTES * self.field_count
        # The size of a bytearray's memory, which grows ahead of its content.
        body: int = self.messages[-1].buffer.__alloc__()
        return MESSAGE_MEMORY_BYTES + self.head_bytes + fields + body

    def discard(self) -> None:
        """Keep nothing of what was parsed; nothing more can be parsed.

        The parser and its callbacks refer to each other, so they stay until the next garbage collection.
        """
        self.messages.clear()
        self.current = None

    def end_of_part(self, data: bytes, start: int) -> int:
        """Return the end of a part of some bytes that does not reach into the next message.

        :param data: bytes that continue those parsed so far.
        :param start: where the part begins.
        """
        message = self.current
        if message is not None and message.head_complete and not message.chunked:
            return min(len(data), start + (message.length or 0) - self.body_bytes)
        across = self.fed_last + data[start : start + len(END_OF_PART) - 1]
        if (at := across.find(END_OF_PART)) >= 0:
            return start + at + len(END_OF_PART) - len(self.fed_last)
        at = data.find(END_OF_PART, start)
        return len(data) if at < 0 else at + len(END_OF_PART)

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        :param data: the bytes, as read from the connection.
        :raises InvalidMessage: if they aren't valid HTTP/1.1 or exceed a limit.
        """
        if self.current is None or not self.current.head_complete:
            self.head_bytes += len(data)
        self.has_content = False
        self.fed_last = (self.fed_last + data[1 - len(END_OF_PART) :])[1 - len(END_OF_PART) :]
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, InvalidMessage):
                raise error.__context__ from None
            raise InvalidMessage(str(error), step="read") from error
        except httptools.HttpParserUpgrade as error:
            raise InvalidMessage("upgrades are not supported", step="read") from error
        except httptools.HttpParserError as error:
            raise InvalidMessage(str(error), step="read") from error
        if self.head_bytes > self.max_head_bytes and not (self.current and self.current.head_complete):
            raise HeadTooLarge("the head exceeds the size limit", step="read")
        self.framing_bytes = 0 if self.has_content else self.framing_bytes + len(data)
        if self.framing_bytes > self.max_head_bytes:
            raise InvalidMessage("the framing of the body exceeds the size limit", step="read")

    def on_message_begin(self) -> None:
        """Start a new message (httptools callback)."""
        self.current = Message()
        self.messages.append(self.current)
        self.body_bytes = 0
        self.field_bytes = 0
        self.field_count = 0

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may be delivered in parts (httptools callback)."""
        assert self.current is not None
        self.current.target += url
        self._count_field_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped (httptools callback)."""
        assert self.current is not None
        if self.current.head_complete:
            return
        self.current.headers.append((name.decode("latin-1"), value.decode("latin-1")))
        self.field_count += 1
        self._count_field_bytes(len(name) + len(value) + FIELD_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Finish the head (httptools callback)."""
        message = self.current
        assert message is not None
        message.head_complete = True
        self.has_content = True
        message.keep_alive = self.parser.should_keep_alive()
        self.head_bytes = 0
        if isinstance(self.parser, httptools.HttpResponseParser):
            message.status = self.parser.get_status_code()
            if not is_status(message.status):
                raise InvalidMessage(f"{message.status:03d} is not a status of a response", step="read")
        else:
            message.method = self.parser.get_method().decode("ascii")
        for name, value in message.headers:
            lower = name.lower()
            if lower == "content-length":
                message.length = int(value)
            elif lower == "transfer-encoding":
                message.chunked = True
        if self.max_body_bytes is not None and (message.length or 0) > self.max_body_bytes:
            raise RequestTooLarge("the body exceeds the size limit", step="read", peer="caller")

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body (httptools callback)."""
        assert self.current is not None
        self.body_bytes += len(data)
        self.has_content = True
        if self.max_body_bytes is not None and self.body_bytes > self.max_body_bytes:
            raise RequestTooLarge("the body exceeds the size limit", step="read", peer="caller")
        if self.is_request:
            self.current.buffer += data
        else:
            self.current.pieces.append(data)

    def _count_field_bytes(self, size: int) -> None:
        self.field_bytes += size
        if self.field_bytes > self.max_head_bytes:
            raise HeadTooLarge("the head exceeds the size limit", step="read", peer="caller")

    def on_message_complete(self) -> None:
        """Finish the message (httptools callback)."""
        assert self.current is not None
        self.current.complete = True
        self.current = None


def is_status(status: int) -> bool:
    """Return whether a response may have a status; no request here asks for another protocol.

    :param status: the three digits of a status line.
    """
    return MIN_STATUS <= status <= MAX_STATUS and status != SWITCHING_PROTOCOLS


def encode_head(start: str, headers: Headers) -> bytes:
    """Encode the head of a message.

    :param start: the request line or status line.
    :param headers: names and values.
    :return: the encoded head with its terminating empty line.
    """
    lines = [start, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def parts_to_send(head: bytes, body: bytes) -> tuple[bytes | memoryview, ...]:
    """Return what to send for a message: in one piece if it is small, else without a copy of the body.

    :param head: the encoded head.
    :param body: the body.
    """
    if len(body) <= MAX_COPIED_BYTES:
        return (head + body,)
    return head, memoryview(body)


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of a server's answer to pass on.

    Those with which daemons tell each other about an answer are removed: a server does not speak for one.

    :param headers: headers as received.
    """
    return [h for h in end_to_end_headers(headers) if not h[0].lower().startswith(DAEMON_HEADER_PREFIX)]


def end_to_end_headers(headers: Headers) -> Headers:
    """Remove hop-by-hop headers, including those that the Connection header names.

    :param headers: headers as received.
    :return: the headers to forward, in order.
    """
    connection_specific = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
    dropped = PER_CONNECTION_HEADERS | connection_specific
    return [(name, value) for name, value in headers if name.lower() not in dropped]
