"""The exceptions of the package: one base class, and a stable error code for each."""

from enum import Enum


class Outcome(Enum):
    """Whether a request was executed on a backend server, as far as is known."""

    NOT_RUN = "not_run"
    """Certainly not executed, so it is safe to send it again."""

    UNKNOWN = "unknown"
    """It may have been executed."""

    RAN = "ran"


class BaygladeError(Exception):
    """Base class of all errors; records the operation that failed and the peer involved.

    :param message: human-readable description; must not contain prompts or keys.
    :param step: the operation that failed, such as ``"connect"`` or ``"claim"``.
    :param peer: the other party: a backend id, a member id or ``"caller"``.
    :param retry_after: seconds after which a retry may succeed, if known.
    :param outcome: whether the request was executed; defaults to ``default_outcome``.
    """

    code = "internal"
    status = 500
    default_outcome = Outcome.UNKNOWN

    def __init__(
        self,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        retry_after: float | None = None,
        outcome: Outcome | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.retry_after = retry_after
        self.outcome = outcome or self.default_outcome
        self.sent = False
        """Whether the request may have reached a backend server, which may not have run it."""

    def __repr__(self) -> str:
        return (
            f"<{type(self).__name__} {self.code} step={self.step!r} peer={self.peer!r}"
            f" outcome={self.outcome.value}: {self.message}>"
        )


class InvalidRequest(BaygladeError):
    """The caller's request is malformed."""

    code, status, default_outcome = "invalid_request", 400, Outcome.NOT_RUN


class InvalidMessage(BaygladeError):
    """The bytes received on a connection are not a valid HTTP/1.1 message."""

    code, status, default_outcome = "invalid_message", 400, Outcome.NOT_RUN


class HeadTooLarge(InvalidMessage):
    """The head of an HTTP message exceeds the size limit."""

    code, status = "head_too_large", 431


class SlowHead(InvalidMessage):
    """The head or the body of a request was not received within its time limit."""

    code, status = "slow_head", 408


class RequestTooLarge(InvalidMessage, InvalidRequest):
    """The body of the caller's request exceeds the size limit."""

    code, status = "request_too_large", 413


class Unauthenticated(BaygladeError):
    """The API key is missing or unknown."""

    code, status, default_outcome = "unauthenticated", 401, Outcome.NOT_RUN


class Forbidden(BaygladeError):
    """The API key is valid but doesn't grant access to the resource."""

    code, status, default_outcome = "forbidden", 403, Outcome.NOT_RUN


class NotFound(BaygladeError):
    """The model, service, group or path does not exist."""

    code, status, default_outcome = "not_found", 404, Outcome.NOT_RUN


class MethodNotAllowed(BaygladeError):
    """The path exists but doesn't support this method."""

    code, status, default_outcome = "method_not_allowed", 405, Outcome.NOT_RUN


class LimitExceeded(BaygladeError):
    """A rate or concurrency limit of the group, or of one of its ancestors, is exhausted."""

    code, status, default_outcome = "limit_exceeded", 429, Outcome.NOT_RUN


class Overloaded(BaygladeError):
    """The request can't meet its deadline behind the work already queued."""

    code, status, default_outcome = "overloaded", 503, Outcome.NOT_RUN


class HostFull(BaygladeError):
    """This daemon keeps as many bytes of requests as the memory of its host allows."""

    code, status, default_outcome = "host_full", 503, Outcome.NOT_RUN


class AnswersFull(BaygladeError):
    """This daemon keeps as many bytes of answers as the memory of its host allows."""

    code, status, default_outcome = "answers_full", 502, Outcome.UNKNOWN


class NoRoute(BaygladeError):
    """No set of live backend servers covers every layer of the model."""

    code, status, default_outcome = "no_route", 503, Outcome.NOT_RUN


class DeadlinePassed(BaygladeError):
    """The deadline passed before the answer was complete."""

    code, status, default_outcome = "deadline_passed", 504, Outcome.UNKNOWN


class CutOff(BaygladeError):
    """This daemon has heard from neither the table nor another daemon for too long."""

    code, status, default_outcome = "cut_off", 503, Outcome.NOT_RUN


class Isolated(BaygladeError):
    """This daemon reaches no backend server of the service, and may not forward the request."""

    code, status, default_outcome = "isolated", 503, Outcome.NOT_RUN


class SettingsBehind(BaygladeError):
    """This daemon's settings are older than those under which a forwarded request was accepted."""

    code, status, default_outcome = "settings_behind", 503, Outcome.NOT_RUN


class PeerRefused(BaygladeError):
    """Another daemon answered a forwarded request with an error of its own, which is passed on.

    :param message: human-readable description.
    :param code: the code of its error.
    :param status: the status of its answer.
    :param peer: the daemon.
    :param retry_after: the seconds that it named, if any.
    :param outcome: whether the request was executed.
    """

    def __init__(
        self,
        message: str,
        *,
        code: str,
        status: int,
        peer: str,
        retry_after: float | None,
        outcome: Outcome,
    ) -> None:
        super().__init__(message, step="forward", peer=peer, retry_after=retry_after, outcome=outcome)
        self.code = code
        self.status = status


class RequestStopped(BaygladeError):
    """The request is blocked, as backend servers went down repeatedly while running it."""

    code, status, default_outcome = "request_stopped", 503, Outcome.NOT_RUN


class Stopping(BaygladeError):
    """This daemon is shutting down and accepts no new requests."""

    code, status, default_outcome = "stopping", 503, Outcome.NOT_RUN


class StoppedMidway(BaygladeError):
    """This daemon exits before the answer is complete; the request may run on."""

    code, status, default_outcome = "stopped_midway", 504, Outcome.UNKNOWN


class BackendError(BaygladeError):
    """A backend server failed after it may have started to run the request."""

    code, status, default_outcome = "backend_error", 502, Outcome.UNKNOWN


class BackendSilent(BackendError):
    """A backend server sent nothing within the timeout; it may still be running the request."""

    code = "backend_silent"


class AnswerTooLarge(BackendError):
    """A backend server sent more bytes than one answer, or one event of a stream, may have."""

    code = "answer_too_large"


class BackendRefused(BackendError):
    """A backend server refused the request before running any of it.

    :param misdirected: whether the request reached another server than the intended one.
    :param at_fault: address of the stage that didn't take part, if it is not the peer itself.
    :param rest_seconds: how long the server asks to receive no more requests, if it says so.
    """

    code, status, default_outcome = "backend_refused", 502, Outcome.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        misdirected: bool = False,
        at_fault: str | None = None,
        rest_seconds: float | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.misdirected = misdirected
        self.at_fault = at_fault
        self.rest_seconds = rest_seconds


class BackendUnreachable(BackendError):
    """No byte of the request reached the backend server."""

    code, status, default_outcome = "backend_unreachable", 502, Outcome.NOT_RUN


class BackendUnwilling(BackendError):
    """A backend server accepts no requests at present; no byte was sent to it."""

    code, status, default_outcome = "backend_unwilling", 502, Outcome.NOT_RUN


class RetryBudgetSpent(BackendError):
    """A backend server failed and the retry budget is exhausted."""

    code, status = "retry_budget_spent", 502


class KeyReused(BaygladeError):
    """The idempotency key was used before with a different body."""

    code, status, default_outcome = "key_reused", 422, Outcome.NOT_RUN


class ClaimUnresolved(BaygladeError):
    """The idempotency key is claimed but has no stored answer; the request won't run again."""

    code, status, default_outcome = "claim_unresolved", 409, Outcome.UNKNOWN


class PlatformUnavailable(BaygladeError):
    """The platform's service didn't respond; nothing was written."""

    code, status, default_outcome = "platform_unavailable", 503, Outcome.NOT_RUN


class PlatformAnswerLost(PlatformUnavailable):
    """The platform's response was lost; the write may have taken effect."""

    code, default_outcome = "platform_answer_lost", Outcome.UNKNOWN


class HistoryGone(BaygladeError):
    """The table no longer has the changes after the requested position."""

    code, status, default_outcome = "history_gone", 503, Outcome.NOT_RUN


class InvalidSettings(BaygladeError):
    """The settings are invalid; none of them were applied."""

    code, status, default_outcome = "invalid_settings", 422, Outcome.NOT_RUN


class SettingsConflict(BaygladeError):
    """The change is based on an older revision than the current head."""

    code, status, default_outcome = "settings_conflict", 409, Outcome.NOT_RUN


class SettingsWentBack(BaygladeError):
    """The head in the table is older than a revision already in force."""

    code, status, default_outcome = "settings_went_back", 503, Outcome.NOT_RUN


class PeerError(BaygladeError):
    """A stream from another daemon violated the protocol or failed its integrity check."""

    code, status = "peer_error", 500
