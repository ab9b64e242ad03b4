"""The API for callers: completions, chat completions, the model list and plain services."""

import hashlib
import socket
import uuid
from collections.abc import Iterator

import msgspec

from bayglade.callers import wire
from bayglade.claims import Claim, StoredAnswer
from bayglade.clock import now
from bayglade.completions import Answer
from bayglade.decoding import reading
from bayglade.directory import AccountHolder, Directory
from bayglade.disconnects import DisconnectWatcher
from bayglade.exceptions import (
    BaygladeError,
    ClaimUnresolved,
    InvalidRequest,
    InvalidSettings,
    MethodNotAllowed,
    NotFound,
    Outcome,
)
from bayglade.ids import ModelName, RequestId, ServiceName
from bayglade.models import Completion, EndReason, ServiceRequest
from bayglade.responses import (
    CLIENT_KEY,
    JSON_TYPE,
    REQUEST_HEADER,
    Environ,
    Response,
    bearer_key,
    json_response,
    read_body,
    request_header,
)
from bayglade.router import Router
from bayglade.services.wire import (
    GROUP_HEADER,
    REQUEST_HEADERS,
    REQUEST_ID_HEADER,
    ServiceAnswer,
    ServiceCall,
    filter_headers,
)
from bayglade.settings import deadline_of, priority_of, version_of

SERVICES_PATH = "/services/"
COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
REPEATABLE_VALUES = {"yes": True, "no": False}


class CallerApi:
    """Authenticates, validates and answers the requests of callers."""

    def __init__(
        self, router: Router, disconnects: DisconnectWatcher, max_body_bytes: int, body_timeout: float
    ) -> None:
        self.router = router
        self.disconnects = disconnects
        self.directory = Directory(router.tree)
        self.max_body_bytes = max_body_bytes
        self.body_timeout = body_timeout

    def __repr__(self) -> str:
        return f"<CallerApi {self.directory!r}>"

    def handle(self, environ: Environ) -> Response:
        """Handle one request.

        :param environ: the WSGI environment of the request.
        :return: the response.
        :raises BaygladeError: if the request is rejected or fails.
        """
        holder = self.directory.account(bearer_key(environ))
        path = environ["PATH_INFO"]
        if path in (COMPLETIONS_PATH, CHAT_PATH):
            _require_method(environ, "POST")
            return self._completion(environ, holder, path == CHAT_PATH)
        if path == MODELS_PATH:
            _require_method(environ, "GET")
            return self._models()
        if path.startswith(SERVICES_PATH):
            return self._service(environ, holder)
        raise NotFound(f"no such path: {path!r}", step="read", peer="caller")

    def _models(self) -> Response:
        return json_response(wire.ModelList([wire.ModelEntry(n) for n in self.router.tree.models]))

    def _completion(self, environ: Environ, holder: AccountHolder, chat: bool) -> Response:
        body = read_body(environ, self.max_body_bytes, self.body_timeout)
        params = wire.decode_params(body, chat)
        request = self._completion_request(environ, holder, params)
        writer = wire.AnswerWriter(request.id, params)
        claim = self.router.claim(request, _digest(environ, body))
        if isinstance(claim, StoredAnswer):
            return _stored_response(writer, claim.answer)
        if params.stream:
            return self._streamed(environ, request, writer, claim)
        return self._unstreamed(environ, request, writer, claim)

    def _completion_request(
        self, environ: Environ, holder: AccountHolder, params: wire.CompletionParams
    ) -> Completion:
        tree = self.router.tree
        if params.model not in tree.models:
            raise NotFound(f"unknown model {params.model!r}", step="read", peer="caller")
        model = ModelName(params.model)
        repeatable = _repeatable(environ, True)
        return Completion(
            id=_new_id(),
            account=holder.account,
            group=holder.group,
            priority=priority_of(tree, holder.group),
            deadline=now() + self._timeout(environ, holder),
            repeatable=repeatable,
            idempotency_key=_idempotency_key(environ, repeatable),
            model=model,
            version=self.router.admission.serving_version(model, version_of(tree, holder.group, model)),
            prompt=params.prompt,
            max_tokens=params.max_tokens,
        )

    def _unstreamed(
        self, environ: Environ, request: Completion, writer: wire.AnswerWriter, claim: Claim | None
    ) -> Response:
        answer = Answer()
        with self.disconnects.watch(_socket(environ)):
            tokens = list(self.router.complete(request, answer, claim))
        content = self._finish(writer, answer, claim)
        assert tokens == answer.committed
        return _ok_response(request.id, JSON_TYPE, content)

    def _streamed(
        self, environ: Environ, request: Completion, writer: wire.AnswerWriter, claim: Claim | None
    ) -> Response:
        pieces = self._stream_events(environ, request, writer, claim)
        # Wait for the first piece before sending the head, so that an early failure gets its own status.
        first = next(pieces)
        response = _ok_response(request.id, wire.STREAM_TYPE, b"")
        response.headers.append(("Cache-Control", "no-store"))
        response.chunks = _chain(first, pieces)
        return response

    def _stream_events(
        self, environ: Environ, request: Completion, writer: wire.AnswerWriter, claim: Claim | None
    ) -> Iterator[bytes]:
        answer = Answer()
        with self.disconnects.watch(_socket(environ)):
            try:
                for token in self.router.complete(request, answer, claim):
                    yield writer.token(token)
            except BaygladeError as error:
                if not answer.committed:
                    raise
                error.outcome = Outcome.UNKNOWN
                yield writer.error(error)
                return
            self._finish(writer, answer, claim)
            yield writer.end(_finish_reason(answer))

    def _finish(self, writer: wire.AnswerWriter, answer: Answer, claim: Claim | None) -> bytes:
        content = writer.whole(answer.committed, _finish_reason(answer))
        if claim is not None:
            headers = {"Content-Type": JSON_TYPE}
            self.router.claims.store_answer(claim, ServiceAnswer(status=200, headers=headers, body=content))
        return content

    def _service(self, environ: Environ, holder: AccountHolder) -> Response:
        name = environ["PATH_INFO"].removeprefix(SERVICES_PATH).partition("/")[0]
        service = self.router.tree.services.get(ServiceName(name))
        if service is None:
            raise NotFound(f"unknown service {name!r}", step="read", peer="caller")
        if environ["REQUEST_METHOD"] not in METHODS:
            raise MethodNotAllowed("method not supported", step="read", peer="caller")
        body = read_body(environ, self.max_body_bytes, self.body_timeout)
        request = self._service_request(environ, holder, ServiceName(name), service.repeatable, body)
        claim = self.router.claim(request, _digest(environ, body))
        if isinstance(claim, StoredAnswer):
            return _service_response(request.id, claim.answer)
        with self.disconnects.watch(_socket(environ)):
            return _service_response(request.id, self.router.call(request, claim))

    def _service_request(
        self, environ: Environ, holder: AccountHolder, name: ServiceName, default: bool, body: bytes
    ) -> ServiceRequest:
        repeatable = _repeatable(environ, default)
        request_id = _new_id()
        return ServiceRequest(
            id=request_id,
            account=holder.account,
            group=holder.group,
            priority=priority_of(self.router.tree, holder.group),
            deadline=now() + self._timeout(environ, holder),
            repeatable=repeatable,
            idempotency_key=_idempotency_key(environ, repeatable),
            service=name,
            call=_service_call(environ, name, body, request_id, holder),
        )

    def _timeout(self, environ: Environ, holder: AccountHolder) -> float:
        """Return the timeout of a request in seconds; a caller can only shorten the group's limit."""
        allowed = deadline_of(self.router.tree, holder.group)
        text = request_header(environ, wire.DEADLINE_HEADER)
        if text is None:
            return allowed
        try:
            asked = float(text)
        except ValueError:
            asked = -1.0
        if not 0 < asked < float("inf"):
            message = f"{wire.DEADLINE_HEADER} must be a positive number of seconds"
            raise InvalidRequest(message, step="read", peer="caller")
        return min(allowed, asked)


def _socket(environ: Environ) -> socket.socket:
    sock: socket.socket = environ["eventlet.input"].get_socket()
    return sock


def _require_method(environ: Environ, method: str) -> None:
    if environ["REQUEST_METHOD"] != method:
        raise MethodNotAllowed(f"this path supports only {method}", step="read", peer="caller")


def _new_id() -> RequestId:
    return RequestId(uuid.uuid4().hex)


def _repeatable(environ: Environ, default: bool) -> bool:
    """Return whether a request can be repeated; a caller can only restrict the default."""
    text = request_header(environ, wire.REPEATABLE_HEADER)
    if text is None:
        return default
    if text not in REPEATABLE_VALUES:
        message = f"{wire.REPEATABLE_HEADER} must be yes or no"
        raise InvalidRequest(message, step="read", peer="caller")
    return default and REPEATABLE_VALUES[text]


def _idempotency_key(environ: Environ, repeatable: bool) -> str | None:
    key = request_header(environ, wire.IDEMPOTENCY_KEY_HEADER)
    if key is None and not repeatable:
        message = f"a request that must not be repeated needs the {wire.IDEMPOTENCY_KEY_HEADER} header"
        raise InvalidRequest(message, step="read", peer="caller")
    if key is not None and not (0 < len(key) <= wire.MAX_KEY_CHARACTERS and key.isprintable()):
        message = (
            f"{wire.IDEMPOTENCY_KEY_HEADER} must have 1 to {wire.MAX_KEY_CHARACTERS} printable characters"
        )
        raise InvalidRequest(message, step="read", peer="caller")
    return key


def _digest(environ: Environ, body: bytes) -> str:
    """Return a digest of everything that distinguishes two requests with the same idempotency key."""
    head = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}?{environ.get('QUERY_STRING', '')}\n"
    return hashlib.sha256(head.encode() + body).hexdigest()


def _service_call(
    environ: Environ, name: ServiceName, body: bytes, request: RequestId, holder: AccountHolder
) -> ServiceCall:
    path = environ["RAW_PATH_INFO"].removeprefix(f"{SERVICES_PATH}{name}") or "/"
    query = environ.get("QUERY_STRING")
    forwarded = {n: request_header(environ, n) for n in REQUEST_HEADERS}
    forwarded["content-type"] = environ.get("CONTENT_TYPE")
    headers = filter_headers({n: v for n, v in forwarded.items() if v}, REQUEST_HEADERS)
    headers[REQUEST_ID_HEADER] = request
    headers[GROUP_HEADER] = holder.group
    return ServiceCall(
        method=environ["REQUEST_METHOD"],
        path=f"{path}?{query}" if query else path,
        headers=headers,
        body=body,
        hold_answer=environ[CLIENT_KEY].hold_answer,
    )


def _service_response(request: RequestId, answer: ServiceAnswer) -> Response:
    headers = [*answer.headers.items(), (REQUEST_HEADER, request)]
    return Response(status=answer.status, headers=headers, content=answer.body)


def _ok_response(request: RequestId, content_type: str, content: bytes) -> Response:
    headers = [("Content-Type", content_type), (REQUEST_HEADER, request)]
    return Response(status=200, headers=headers, content=content)


def _stored_response(writer: wire.AnswerWriter, answer: ServiceAnswer) -> Response:
    """Return a stored completion; if the caller asked for a stream, all text goes out as one event."""
    if not writer.params.stream:
        return _ok_response(RequestId(writer.request), JSON_TYPE, answer.body)
    try:
        with reading("a stored answer", "claim"):
            choice = msgspec.json.decode(answer.body, type=wire.Completion).choices[0]
    except InvalidSettings as error:
        raise ClaimUnresolved("the stored answer cannot be read", step="claim") from error
    text = choice.message.content if choice.message is not None else choice.text or ""
    response = _ok_response(RequestId(writer.request), wire.STREAM_TYPE, b"")
    response.chunks = [writer.token(text), writer.end(choice.finish_reason or "stop")]
    return response


def _finish_reason(answer: Answer) -> str:
    return (answer.reason or EndReason.STOP).value


def _chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    try:
        yield first
        yield from rest
    finally:
        rest.close()  # type: ignore[attr-defined]
