"""Completions: attempts on successive routes until the answer is complete.

Tokens are committed by index. A failed attempt is fenced on every stage, and
the next attempt continues after the last committed token on another route. A
frame of another request, of an earlier attempt or with an old index is dropped
and counted.
"""

import random
from collections.abc import Iterator

import eventlet

from bayglade.admission import Admission, ModelVersion
from bayglade.clock import now
from bayglade.engines import Engines
from bayglade.engines import wire as engine_wire
from bayglade.exceptions import (
    BackendError,
    BackendRefused,
    BaygladeError,
    DeadlinePassed,
    NoRoute,
    Outcome,
    Overloaded,
    RetryBudgetSpent,
)
from bayglade.ids import AttemptNumber, BackendId, ModelName
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.models import Completion, EndReason, Route
from bayglade.retries import RetryBudget, jittered_retry_after, retry_delay
from bayglade.trust import Trust

MAX_GAP_TIMEOUT = 4.0
MIN_GAP_TIMEOUT = 0.5
"""Bounds on the timeout for the next frame, in seconds."""
GAP_FACTOR = 40.0
"""Timeout for the next frame as a multiple of the mean time per token."""
MAX_ATTEMPTS = 6
ROUTE_POLL_SECONDS = 0.02
ROUTE_WAIT_SECONDS = 2.0
"""How often, and for how long, a failed attempt looks for another route."""


class Answer:
    """The answer of one completion so far."""

    __slots__ = ("committed", "may_have_run", "reason", "route")

    def __init__(self) -> None:
        self.committed: list[str] = []
        self.reason: EndReason | None = None
        self.route: Route | None = None
        self.may_have_run = False

    def __repr__(self) -> str:
        return f"<Answer {len(self.committed)} tokens, {self.reason}>"

    def outcome(self) -> Outcome:
        """Return what is known about the outcome of an answer that remains incomplete."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


class Completions:
    """Runs completions on the engines."""

    def __init__(
        self,
        engines: Engines,
        admission: Admission,
        trust: Trust,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.engines = engines
        self.trust = trust
        self.admission = admission
        self.metrics = metrics
        self.rng = rng
        self.budgets: dict[str, RetryBudget] = {}

    def __repr__(self) -> str:
        return f"<Completions {len(self.budgets)} groups>"

    def run(self, request: Completion, answer: Answer) -> Iterator[str]:
        """Run a completion and yield its tokens, each exactly once, in order.

        Closing the iterator cancels the work on the engines.

        :param request: the request.
        :param answer: updated as tokens arrive; ``reason`` is set at the end.
        :return: the tokens.
        :raises BaygladeError: if the answer cannot be completed.
        """
        self._budget(request).note_request()
        began = now()
        answer.route = self.admission.acquire_route(request)
        avoided: frozenset[BackendId] = frozenset()
        self.metrics.send_timing("admission.wait", now() - began)
        event("DEBUG", "granted", request=request.id, group=request.group, wait=round(now() - began, 4))
        try:
            # A daemon that was suspended while the request waited must not act on outdated data.
            self.trust.check()
            for number in range(1, MAX_ATTEMPTS + 1):
                attempt = AttemptNumber(number)
                try:
                    yield from self._attempt(request, answer, attempt)
                    return
                except BackendError as error:
                    avoided = self._handle_failure(request, answer, attempt, error, avoided)
                self._next_route(request, answer, attempt, avoided)
            raise RetryBudgetSpent(
                f"{MAX_ATTEMPTS} attempts failed",
                step="retry",
                outcome=answer.outcome(),
                retry_after=jittered_retry_after(1.0, self.rng),
            )
        finally:
            self._correct_charge(request, len(answer.committed))
            if answer.route is not None:
                self.admission.release_route(answer.route)

    def _attempt(self, request: Completion, answer: Answer, attempt: AttemptNumber) -> Iterator[str]:
        route = answer.route
        assert route is not None
        message = self._generate_message(request, answer, attempt, route)
        before = len(answer.committed)
        started = now()
        complete = False
        try:
            for frame in self.engines.stream(message, self._gap_timeout(request)):
                answer.may_have_run = True
                if not self._is_expected(frame, request, attempt, len(answer.committed)):
                    self.metrics.count("frames.dropped")
                    continue
                if isinstance(frame, engine_wire.TokenFrame):
                    answer.committed.append(frame.text)
                    yield frame.text
                elif isinstance(frame, engine_wire.ErrorFrame):
                    raise BackendError(frame.code, step="stage", peer=frame.backend)
                else:
                    complete = self._finish(frame, answer)
                if request.seconds_left() < 0:
                    raise DeadlinePassed("the deadline passed", step="stream", outcome=Outcome.UNKNOWN)
            if not complete:
                raise BackendError("the stream ended early", step="stream", peer=route.stages[0].backend)
            self._record_speed(request, route, len(answer.committed) - before, now() - started)
        finally:
            if not complete:
                self._fence(request, attempt, route)

    def _generate_message(
        self, request: Completion, answer: Answer, attempt: AttemptNumber, route: Route
    ) -> engine_wire.Generate:
        return engine_wire.Generate(
            request=request.id,
            attempt=attempt,
            model=request.model,
            version=request.version,
            salt=request.group,
            prompt=request.prompt,
            committed=list(answer.committed),
            max_tokens=request.max_tokens,
            priority=request.priority,
            stages=list(route.stages),
        )

    def _is_expected(
        self, frame: engine_wire.Frame, request: Completion, attempt: AttemptNumber, index: int
    ) -> bool:
        if frame.request != request.id or frame.attempt != attempt:
            return False
        if not isinstance(frame, engine_wire.TokenFrame) or frame.index == index:
            return True
        if frame.index > index:
            raise BackendError("a token is missing", step="stream", peer="")
        return False

    def _finish(self, frame: engine_wire.EndFrame, answer: Answer) -> bool:
        route = answer.route
        assert route is not None
        if frame.count != len(answer.committed):
            raise BackendError("the answer lacks tokens", step="stream", peer=route.stages[0].backend)
        answer.reason = EndReason.LENGTH if frame.reason == EndReason.LENGTH.value else EndReason.STOP
        if frame.load is not None:
            self.admission.backends.apply_report(route.stages[0].backend, frame.load)
        return True

    def _record_speed(self, request: Completion, route: Route, tokens: int, seconds: float) -> None:
        for stage in route.stages:
            self.admission.backends.record_success(stage.backend)
        if not tokens:
            return
        speed = self.admission.speed((request.model, request.version))
        speed.update(seconds / tokens)
        layers = {stage.backend: stage.last - stage.first for stage in route.stages}
        self.admission.backends.learn_speed(layers, seconds / tokens)

    def _correct_charge(self, request: Completion, tokens: int) -> None:
        unused = request.max_tokens - tokens
        self.admission.usage.charge(request.group, -unused)
        speed = self.admission.speed((request.model, request.version))
        speed.tokens_served.add(request.cost - unused, now())

    def _gap_timeout(self, request: Completion) -> float:
        speed = self.admission.speed((request.model, request.version))
        gap = max(MIN_GAP_TIMEOUT, GAP_FACTOR * speed.seconds_per_token)
        return min(MAX_GAP_TIMEOUT, gap, max(0.01, request.seconds_left()))

    def _handle_failure(
        self,
        request: Completion,
        answer: Answer,
        attempt: AttemptNumber,
        error: BackendError,
        avoided: frozenset[BackendId],
    ) -> frozenset[BackendId]:
        """Record a failed attempt; raise an error if no other attempt may follow."""
        route = answer.route
        assert route is not None
        answer.may_have_run = answer.may_have_run or error.outcome is not Outcome.NOT_RUN
        if request.seconds_left() <= 0:
            # Silence up to the caller's deadline says nothing about the server.
            outcome = answer.outcome()
            raise DeadlinePassed("the deadline passed", step="stream", peer=error.peer, outcome=outcome)
        at_fault = self._servers_at_fault(error, route)
        for backend in at_fault:
            self._report_failure(backend, error)
        self.metrics.count("attempts.failed")
        event("WARNING", "attempt failed", request=request.id, attempt=attempt, error=repr(error))
        if not request.repeatable and answer.may_have_run:
            raise error
        if not self._budget(request).acquire():
            raise RetryBudgetSpent(
                "the retry budget is exhausted",
                step="retry",
                peer=error.peer,
                outcome=answer.outcome(),
                retry_after=jittered_retry_after(1.0, self.rng),
            )
        return avoided | at_fault

    def _servers_at_fault(self, error: BackendError, route: Route) -> frozenset[BackendId]:
        """Return the servers at fault: the one that the error names, or those that do not respond."""
        head = route.stages[0]
        later = {stage.backend: stage for stage in route.stages[1:]}
        if error.peer in later or len(route.stages) == 1 or error.step != "stream":
            return frozenset({BackendId(error.peer or head.backend)})
        probes = [(s, eventlet.spawn(self.engines.load, s.address)) for s in route.stages]
        silent = frozenset(stage.backend for stage, probe in probes if probe.wait() is None)
        return silent or frozenset({head.backend})

    def _report_failure(self, backend: BackendId, error: BackendError) -> None:
        state = self.admission.backends.states.get(backend)
        if isinstance(error, BackendRefused) and state is not None:
            load = self.engines.load(state.facts.address)
            if load is not None:
                self.admission.backends.apply_report(backend, load)
                return
        self.admission.backends.record_failure(backend)

    def _fence(self, request: Completion, attempt: AttemptNumber, route: Route) -> None:
        message = engine_wire.Cancel(request.id, attempt)
        for stage in route.stages:
            eventlet.spawn_n(self.engines.cancel, stage, message)

    def _next_route(
        self, request: Completion, answer: Answer, attempt: AttemptNumber, avoided: frozenset[BackendId]
    ) -> None:
        """Move to another route; a request that has begun takes precedence over waiting ones."""
        old, answer.route = answer.route, None
        assert old is not None
        self.admission.release_route(old)
        if not self._others_cover((request.model, request.version), avoided):
            # Only servers that failed are left; give them time to recover.
            eventlet.sleep(min(retry_delay(attempt, self.rng), max(0.0, request.seconds_left())))
        until = now() + min(ROUTE_WAIT_SECONDS, request.seconds_left())
        while answer.route is None:
            if not answer.may_have_run:
                # Its version may have been replaced meanwhile, so that no server would have room for it.
                request.version = self.admission.serving_version(request.model, request.version)
            answer.route = self._take_route(request, avoided)
            if answer.route is not None:
                return
            if now() > until:
                raise self._no_room_error(request.model, answer)
            eventlet.sleep(ROUTE_POLL_SECONDS)

    def _take_route(self, request: Completion, avoided: frozenset[BackendId]) -> Route | None:
        model_version = (request.model, request.version)
        if self._others_cover(model_version, avoided):
            return self.admission.take_route(model_version, avoided)
        return self.admission.take_route(model_version)

    def _others_cover(self, model_version: ModelVersion, avoided: frozenset[BackendId]) -> bool:
        try:
            self.admission.check_coverage(model_version, avoided)
        except NoRoute:
            return False
        return True

    def _no_room_error(self, model: ModelName, answer: Answer) -> BaygladeError:
        return Overloaded(
            f"no other route of {model} has room",
            step="retry",
            outcome=answer.outcome(),
            retry_after=jittered_retry_after(1.0, self.rng),
        )

    def _budget(self, request: Completion) -> RetryBudget:
        if request.group not in self.budgets:
            self.budgets[request.group] = RetryBudget()
        return self.budgets[request.group]
