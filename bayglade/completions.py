"""Completions: attempts along routes until the answer is whole.

Tokens are committed by index. When an attempt fails it is fenced on every
stage, and the next attempt goes on after the last committed token on another
route. A frame of another request, of an older attempt or out of its index is
dropped and counted.
"""

import random
from collections.abc import Iterator

import eventlet

from bayglade.admission import Admission, Kind
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
from bayglade.retries import RetryBudget, retry_pause, spread_retry_after
from bayglade.trust import Trust

FIRST_GAP_TIMEOUT = 4.0
MIN_GAP_TIMEOUT = 0.5
GAP_FACTOR = 40.0
MAX_ATTEMPTS = 6
ROOM_POLL = 0.02
ROOM_WAIT = 2.0


class Answer:
    """What one completion has given so far."""

    __slots__ = ("committed", "ran", "reason", "route")

    def __init__(self) -> None:
        self.committed: list[str] = []
        self.reason: EndReason | None = None
        self.route: Route | None = None
        self.ran = False

    def __repr__(self) -> str:
        return f"<Answer {len(self.committed)} tokens, {self.reason}>"

    def outcome(self) -> Outcome:
        """Tell what is known of an answer that will not become whole."""
        return Outcome.UNKNOWN if self.ran else Outcome.NOT_RUN


class Completions:
    """Runs completions over the engines."""

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
        :param answer: filled as tokens come; ``reason`` is set at the end.
        :return: tokens.
        :raises BaygladeError: when the answer cannot be made whole.
        """
        self._budget(request).request()
        began = now()
        answer.route = self.admission.enter(request)
        avoid: frozenset[BackendId] = frozenset()
        self.metrics.send_timing("admission.wait", now() - began)
        event("DEBUG", "granted", request=request.id, group=request.group, wait=round(now() - began, 4))
        try:
            # A daemon that was stopped while the request waited must not act on what it knew.
            self.trust.check()
            for number in range(1, MAX_ATTEMPTS + 1):
                attempt = AttemptNumber(number)
                try:
                    yield from self._attempt(request, answer, attempt)
                    return
                except BackendError as error:
                    avoid = self._failed(request, answer, attempt, error, avoid)
                self._next_route(request, answer, attempt, avoid)
            raise RetryBudgetSpent(
                f"{MAX_ATTEMPTS} attempts failed",
                step="retry",
                outcome=answer.outcome(),
                retry_after=spread_retry_after(1.0, self.rng),
            )
        finally:
            self._correct_charge(request, len(answer.committed))
            if answer.route is not None:
                self.admission.leave(answer.route)

    def _attempt(self, request: Completion, answer: Answer, attempt: AttemptNumber) -> Iterator[str]:
        route = answer.route
        assert route is not None
        order = self._order(request, answer, attempt, route)
        before = len(answer.committed)
        started = now()
        whole = False
        try:
            for frame in self.engines.stream(order, self._gap_timeout(request)):
                answer.ran = True
                if not self._belongs(frame, request, attempt, len(answer.committed)):
                    self.metrics.count("frames.dropped")
                    continue
                if isinstance(frame, engine_wire.TokenFrame):
                    answer.committed.append(frame.text)
                    yield frame.text
                elif isinstance(frame, engine_wire.ErrorFrame):
                    raise BackendError(frame.code, step="stage", peer=frame.backend)
                else:
                    whole = self._ended(frame, answer)
                if request.seconds_left() < 0:
                    raise DeadlinePassed("the deadline passed", step="stream", outcome=Outcome.UNKNOWN)
            if not whole:
                raise BackendError("the stream ended early", step="stream", peer=route.stages[0].backend)
            self._learn(request, route, len(answer.committed) - before, now() - started)
        finally:
            if not whole:
                self._fence(request, attempt, route)

    def _order(
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

    def _belongs(
        self, frame: engine_wire.Frame, request: Completion, attempt: AttemptNumber, index: int
    ) -> bool:
        if frame.request != request.id or frame.attempt != attempt:
            return False
        if not isinstance(frame, engine_wire.TokenFrame) or frame.index == index:
            return True
        if frame.index > index:
            raise BackendError("a token is missing", step="stream", peer="")
        return False

    def _ended(self, frame: engine_wire.EndFrame, answer: Answer) -> bool:
        route = answer.route
        assert route is not None
        if frame.count != len(answer.committed):
            raise BackendError("the answer is short", step="stream", peer=route.stages[0].backend)
        answer.reason = EndReason.LENGTH if frame.reason == EndReason.LENGTH.value else EndReason.STOP
        if frame.load is not None:
            self.admission.backends.apply_report(route.stages[0].backend, frame.load)
        return True

    def _learn(self, request: Completion, route: Route, tokens: int, seconds: float) -> None:
        for stage in route.stages:
            self.admission.backends.record_success(stage.backend)
        if not tokens:
            return
        speed = self.admission.speed((request.model, request.version))
        speed.learn(seconds / tokens)
        layers = {stage.backend: stage.last - stage.first for stage in route.stages}
        self.admission.backends.learn_speed(layers, seconds / tokens)

    def _correct_charge(self, request: Completion, tokens: int) -> None:
        unused = request.max_tokens - tokens
        self.admission.usage.charge(request.group, -unused)
        speed = self.admission.speed((request.model, request.version))
        speed.served.add(request.cost - unused, now())

    def _gap_timeout(self, request: Completion) -> float:
        speed = self.admission.speed((request.model, request.version))
        gap = max(MIN_GAP_TIMEOUT, GAP_FACTOR * speed.seconds_per_token)
        return min(FIRST_GAP_TIMEOUT, gap, max(0.01, request.seconds_left()))

    def _failed(
        self,
        request: Completion,
        answer: Answer,
        attempt: AttemptNumber,
        error: BackendError,
        avoid: frozenset[BackendId],
    ) -> frozenset[BackendId]:
        """Note a failed attempt; raise when no other may follow."""
        route = answer.route
        assert route is not None
        answer.ran = answer.ran or error.outcome is not Outcome.NOT_RUN
        if request.seconds_left() <= 0:
            # Silence until the caller's own deadline says nothing of the server.
            outcome = answer.outcome()
            raise DeadlinePassed("the deadline passed", step="stream", peer=error.peer, outcome=outcome)
        guilty = self._guilty(error, route)
        for backend in guilty:
            self._blame(backend, error)
        self.metrics.count("attempts.failed")
        event("WARNING", "attempt failed", request=request.id, attempt=attempt, error=repr(error))
        if not request.repeatable and answer.ran:
            raise error
        if not self._budget(request).retry():
            raise RetryBudgetSpent(
                "the budget for retries is spent",
                step="retry",
                peer=error.peer,
                outcome=answer.outcome(),
                retry_after=spread_retry_after(1.0, self.rng),
            )
        return avoid | guilty

    def _guilty(self, error: BackendError, route: Route) -> frozenset[BackendId]:
        """Find the servers at fault: the one named, or those that do not answer."""
        head = route.stages[0]
        later = {stage.backend: stage for stage in route.stages[1:]}
        if error.peer in later or len(route.stages) == 1 or error.step != "stream":
            return frozenset({BackendId(error.peer or head.backend)})
        probes = [(s, eventlet.spawn(self.engines.load, s.address)) for s in route.stages]
        silent = frozenset(stage.backend for stage, probe in probes if probe.wait() is None)
        return silent or frozenset({head.backend})

    def _blame(self, backend: BackendId, error: BackendError) -> None:
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
        self, request: Completion, answer: Answer, attempt: AttemptNumber, avoid: frozenset[BackendId]
    ) -> None:
        """Move to another route; what was begun goes before what waits."""
        old, answer.route = answer.route, None
        assert old is not None
        self.admission.leave(old)
        if not self._others_cover((request.model, request.version), avoid):
            # Only servers that failed are left: give them a moment.
            eventlet.sleep(min(retry_pause(attempt, self.rng), max(0.0, request.seconds_left())))
        until = now() + min(ROOM_WAIT, request.seconds_left())
        while answer.route is None:
            if not answer.ran:
                # Its version may have been rolled away meanwhile: asking on for it would find no room.
                request.version = self.admission.serving_version(request.model, request.version)
            answer.route = self._take(request, avoid)
            if answer.route is not None:
                return
            if now() > until:
                raise self._no_room(request.model, answer)
            eventlet.sleep(ROOM_POLL)

    def _take(self, request: Completion, avoid: frozenset[BackendId]) -> Route | None:
        kind = (request.model, request.version)
        if self._others_cover(kind, avoid):
            return self.admission.take_route(kind, avoid)
        return self.admission.take_route(kind)

    def _others_cover(self, kind: Kind, avoid: frozenset[BackendId]) -> bool:
        try:
            self.admission.check_coverage(kind, avoid)
        except NoRoute:
            return False
        return True

    def _no_room(self, model: ModelName, answer: Answer) -> BaygladeError:
        return Overloaded(
            f"no other route of {model} has room",
            step="retry",
            outcome=answer.outcome(),
            retry_after=spread_retry_after(1.0, self.rng),
        )

    def _budget(self, request: Completion) -> RetryBudget:
        if request.group not in self.budgets:
            self.budgets[request.group] = RetryBudget()
        return self.budgets[request.group]
