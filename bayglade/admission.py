"""Admission control: requests queue here in order of fair shares until a route has room.

Requests queue in the daemon rather than in the engines, so that the daemon
decides their order. A request that cannot meet its deadline is rejected at once.
"""

import random

import eventlet
from eventlet.event import Event

from bayglade.backends import Backends, BackendState
from bayglade.clock import DecayingSum, now
from bayglade.exceptions import BaygladeError, NoRoute, Overloaded
from bayglade.fairness import QueuedItem, ShareQueue
from bayglade.ids import BackendId, GroupPath, ModelName, Version
from bayglade.models import Completion, Route
from bayglade.retries import jittered_retry_after
from bayglade.routing import choose_route, covers
from bayglade.settings import Tree, level_at, link_milliseconds, priority_of
from bayglade.usage import Usage

RATE_TIME_CONSTANT = 5.0
"""Time constant of the measured rate of served tokens, in seconds."""
NO_ROUTE_RETRY_AFTER = 2.0
"""Retry-After in seconds, before jitter, if the live servers do not cover a model."""
UPPER_BOUND_DEVIATIONS = 3.0
"""Number of mean deviations between the mean time per token and its upper bound."""
WAIT_SAFETY_FACTOR = 1.25
"""Factor on the estimated wait when a new request is checked against its deadline."""
INITIAL_SECONDS_PER_TOKEN = 0.02
"""Estimate before any answer was measured."""
SPEED_SMOOTHING = 0.1
"""Weight of the latest answer in the moving averages."""

Queue = ShareQueue[Event]
"""The waiting requests for one version of one model."""
ModelVersion = tuple[ModelName, Version]


class Speed:
    """Measured speed of one version of a model."""

    __slots__ = ("deviation", "seconds_per_token", "tokens_served")

    def __init__(self) -> None:
        self.tokens_served = DecayingSum(RATE_TIME_CONSTANT)
        self.seconds_per_token = INITIAL_SECONDS_PER_TOKEN
        self.deviation = INITIAL_SECONDS_PER_TOKEN / 4

    def __repr__(self) -> str:
        return f"<Speed {self.seconds_per_token * 1000:.2f} ms per token>"

    def update(self, seconds_per_token: float) -> None:
        """Update the averages with the speed of one answer."""
        error = seconds_per_token - self.seconds_per_token
        self.seconds_per_token += SPEED_SMOOTHING * error
        self.deviation += SPEED_SMOOTHING * (abs(error) - self.deviation)

    def upper_bound(self) -> float:
        """Return an upper bound on the seconds per token that nearly all answers stay below."""
        return self.seconds_per_token + UPPER_BOUND_DEVIATIONS * self.deviation


class Admission:
    """The queues of a daemon, and the routes that it reserves for requests."""

    def __init__(self, backends: Backends, usage: Usage, rng: random.Random, hall: str) -> None:
        self.backends = backends
        self.usage = usage
        self.rng = rng
        self.hall = hall
        self.tree = Tree()
        self.queues: dict[ModelVersion, Queue] = {}
        self.speeds: dict[ModelVersion, Speed] = {}

    def __repr__(self) -> str:
        return f"<Admission {self.waiting()} waiting>"

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self.queues.values())

    def sync(self, tree: Tree) -> None:
        """Apply a new revision of the settings."""
        self.tree = tree
        self.backends.sync(tree)
        self.dispatch_all()

    def acquire_route(self, request: Completion) -> Route:
        """Wait for a turn, and reserve a slot on every server of a route.

        The estimated cost is charged to the group when its turn comes; the
        caller of this method corrects the charge when the answer is complete.

        :param request: the request.
        :return: the route; return it with :meth:`release_route`.
        :raises NoRoute: if the live servers do not cover the model.
        :raises Overloaded: at once if the turn would come too late, or later if it did not come in time.
        """
        model_version = (request.model, request.version)
        self.check_coverage(model_version)
        self.usage.note_demand(request.group, request.cost)
        queue = self._queue(model_version)
        if not len(queue):
            route = self.take_route(model_version)
            if route is not None:
                self.usage.charge(request.group, request.cost)
                return route
        self._reject_if_too_late(request, queue)
        return self._wait(request, queue)

    def serving_version(self, model: ModelName, wanted: Version) -> Version:
        """Return the version to serve: the wanted one, or another one while it is being loaded.

        :param model: the model.
        :param wanted: the version in force for the group.
        :return: a version that live servers cover, if there is one; otherwise the wanted one.
        """
        if self._covered((model, wanted)):
            return wanted
        states = self.backends.by_model.get(model, ())
        others = sorted({version for state in states for version in state.versions()} - {wanted})
        return next((version for version in others if self._covered((model, version))), wanted)

    def _covered(self, model_version: ModelVersion) -> bool:
        model = self.tree.models.get(model_version[0])
        return model is not None and covers(self._usable(model_version), model.layers)

    def take_route(
        self, model_version: ModelVersion, excluded: frozenset[BackendId] = frozenset()
    ) -> Route | None:
        """Reserve a route immediately, if one has room.

        :param model_version: model and version.
        :param excluded: servers that must not be used.
        :return: the route, or None.
        """
        usable = self._usable(model_version, excluded)
        stages = choose_route(
            [s for s in usable if s.has_room()],
            self.tree.models[model_version[0]].layers,
            self.hall,  # type: ignore[arg-type]
            lambda one, other: link_milliseconds(self.tree, one, other) / 1000,
            self.rng,
        )
        if stages is None:
            return None
        for stage in stages:
            self.backends.states[stage.backend].in_flight += 1
        return Route(stages)

    def release_route(self, route: Route) -> None:
        """Release a route, and serve waiting requests."""
        for stage in route.stages:
            state = self.backends.states.get(stage.backend)
            if state is not None and state.in_flight > 0:
                state.in_flight -= 1
        self.dispatch_all()

    def check_coverage(
        self, model_version: ModelVersion, excluded: frozenset[BackendId] = frozenset()
    ) -> None:
        """Check that live servers cover the model.

        :param model_version: model and version.
        :param excluded: servers that must not be used.
        :raises NoRoute: if they do not.
        """
        model = self.tree.models.get(model_version[0])
        if model is not None and covers(self._usable(model_version, excluded), model.layers):
            return
        raise NoRoute(
            f"no live servers cover {model_version[0]} {model_version[1]}",
            step="route",
            retry_after=jittered_retry_after(NO_ROUTE_RETRY_AFTER, self.rng),
        )

    def dispatch_all(self) -> None:
        """Serve all waiting requests for which there is room."""
        for model_version, queue in self.queues.items():
            if len(queue):
                self._dispatch(model_version, queue)

    def reject_uncovered(self) -> None:
        """Reject requests that wait for a model that the live servers do not cover."""
        for model_version, queue in self.queues.items():
            if not len(queue):
                continue
            try:
                self.check_coverage(model_version)
            except NoRoute as error:
                for waiting in queue.all():
                    queue.remove(waiting)
                    waiting.entry.send_exception(error)

    def speed(self, model_version: ModelVersion) -> Speed:
        """Return the measured speed of a version of a model."""
        if model_version not in self.speeds:
            self.speeds[model_version] = Speed()
        return self.speeds[model_version]

    def _dispatch(self, model_version: ModelVersion, queue: Queue) -> None:
        while len(queue):
            route = self.take_route(model_version)
            if route is None:
                return
            waiting = queue.pop()
            assert waiting is not None
            self.usage.charge(waiting.group, waiting.cost)
            waiting.entry.send(route)

    def _wait(self, request: Completion, queue: Queue) -> Route:
        grant = Event()
        latest = request.deadline - self._service_seconds(request)
        waiting = QueuedItem(request.group, request.priority, request.cost, latest, grant)
        queue.push(waiting)
        try:
            with eventlet.Timeout(max(0.0, latest - now()), False):
                granted: Route = grant.wait()
                return granted
        except BaseException:
            # The caller disconnected: release a route that was granted at the same moment.
            if not queue.remove(waiting) and grant.has_result():
                self._release_grant(request, grant)
            raise
        if queue.remove(waiting):
            raise self._too_late_error(queue, request)
        # The route was granted at the same moment as the timeout.
        late_grant: Route = grant.wait()
        return late_grant

    def _release_grant(self, request: Completion, grant: Event) -> None:
        self.usage.charge(request.group, -request.cost)
        self.release_route(grant.wait())

    def _reject_if_too_late(self, request: Completion, queue: Queue) -> None:
        wait = self._wait_seconds(request, queue)
        if wait * WAIT_SAFETY_FACTOR + self._service_seconds(request) > request.seconds_left():
            raise self._too_late_error(queue, request)

    def _too_late_error(self, queue: Queue, request: Completion) -> BaygladeError:
        wait = self._wait_seconds(request, queue)
        return Overloaded(
            "the deadline cannot be met: too much work is queued ahead",
            step="admission",
            retry_after=jittered_retry_after(wait, self.rng),
        )

    def _service_seconds(self, request: Completion) -> float:
        speed = self.speed((request.model, request.version))
        return speed.upper_bound() * request.max_tokens

    def _wait_seconds(self, request: Completion, queue: Queue) -> float:
        speed = self.speed((request.model, request.version))
        # While few answers have ended, the requests in flight give a lower bound on the rate.
        running = self._in_flight(request) / speed.seconds_per_token
        rate = max(speed.tokens_served.rate(now()), running)
        ahead = queue.cost_before(request.group)
        return ahead / rate if rate > 0 else 0.0

    def _in_flight(self, request: Completion) -> int:
        """Return how many requests of this daemon run on the first stages of a model."""
        states = self.backends.of_model(request.model, request.version)
        return sum(state.in_flight for state in states if state.facts.first == 0)

    def _usable(
        self, model_version: ModelVersion, excluded: frozenset[BackendId] = frozenset()
    ) -> list[BackendState]:
        at = now()
        states = self.backends.of_model(*model_version)
        return [s for s in states if s.usable(at) and s.id not in excluded]

    def _queue(self, model_version: ModelVersion) -> Queue:
        if model_version not in self.queues:
            self.queues[model_version] = ShareQueue(self.usage, self._share_of)
        return self.queues[model_version]

    def share_of_group(self, path: GroupPath) -> float:
        """Return the share of a group."""
        return self._share_of(path)[1]

    def _share_of(self, path: GroupPath) -> tuple[int, float]:
        try:
            return priority_of(self.tree, path), level_at(self.tree, path).share
        except BaygladeError:
            # The group was removed while its requests waited.
            return 0, 1.0
