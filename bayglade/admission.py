"""Admission: requests wait here, in order of their shares, until a route has room.

Queues stand in the daemon and not in the engines, so that order is decided
here. A request that cannot be served in time is refused at once.
"""

import random

import eventlet
from eventlet.event import Event

from bayglade.backends import Backends, BackendState
from bayglade.clock import DecayingSum, now
from bayglade.exceptions import BaygladeError, NoRoute, Overloaded
from bayglade.fairness import ShareQueue, Waiting
from bayglade.ids import BackendId, GroupPath, ModelName, Version
from bayglade.models import Completion, Route
from bayglade.retries import spread_retry_after
from bayglade.routing import choose_route, covers
from bayglade.settings import Tree, level_at, link_milliseconds, priority_of
from bayglade.usage import Usage

RATE_TAU = 5.0
NO_ROUTE_RETRY_AFTER = 2.0
SAFE_DEVIATIONS = 3.0
WAIT_MARGIN = 1.25
FIRST_SECONDS_PER_TOKEN = 0.02
SPEED_WEIGHT = 0.1

Line = ShareQueue[Event]
Kind = tuple[ModelName, Version]
"""A line holds the requests for one version of one model."""


class Speed:
    """What was measured of one version of a model."""

    __slots__ = ("deviation", "seconds_per_token", "served")

    def __init__(self) -> None:
        self.served = DecayingSum(RATE_TAU)
        self.seconds_per_token = FIRST_SECONDS_PER_TOKEN
        self.deviation = FIRST_SECONDS_PER_TOKEN / 4

    def __repr__(self) -> str:
        return f"<Speed {self.seconds_per_token * 1000:.2f} ms a token>"

    def learn(self, seconds_per_token: float) -> None:
        """Take in the speed of one answer."""
        error = seconds_per_token - self.seconds_per_token
        self.seconds_per_token += SPEED_WEIGHT * error
        self.deviation += SPEED_WEIGHT * (abs(error) - self.deviation)

    def safe(self) -> float:
        """Return seconds a token that nearly all answers keep to."""
        return self.seconds_per_token + SAFE_DEVIATIONS * self.deviation


class Admission:
    """All lines of a daemon and the routes handed out to them."""

    def __init__(self, backends: Backends, usage: Usage, rng: random.Random, hall: str) -> None:
        self.backends = backends
        self.usage = usage
        self.rng = rng
        self.hall = hall
        self.tree = Tree()
        self.lines: dict[Kind, Line] = {}
        self.speeds: dict[Kind, Speed] = {}

    def __repr__(self) -> str:
        return f"<Admission {self.waiting()} waiting>"

    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(line) for line in self.lines.values())

    def sync(self, tree: Tree) -> None:
        """Take in a new revision of the settings."""
        self.tree = tree
        self.backends.sync(tree)
        self.dispatch_all()

    def enter(self, request: Completion) -> Route:
        """Wait for a turn and take a place on every server of a route.

        The estimated cost is charged to the group when the turn comes; the
        caller of this method corrects it when the answer has ended.

        :param request: the request.
        :return: the route; give it back with :meth:`leave`.
        :raises NoRoute: when the live servers do not cover the model.
        :raises Overloaded: at once, when its turn would come too late.
        """
        kind = (request.model, request.version)
        self.check_coverage(kind)
        self.usage.ask(request.group, request.cost)
        line = self._line(kind)
        if not len(line):
            route = self.take_route(kind)
            if route is not None:
                self.usage.charge(request.group, request.cost)
                return route
        self._refuse_if_too_late(request, line)
        return self._wait(request, line)

    def serving_version(self, model: ModelName, wanted: Version) -> Version:
        """Return the version to serve: the wanted one, or another while it is being loaded.

        :param model: the model.
        :param wanted: the version in force for the group.
        :return: a version that live servers cover, if there is any.
        """
        if self._covered((model, wanted)):
            return wanted
        states = self.backends.by_model.get(model, ())
        others = sorted({version for state in states for version in state.versions()} - {wanted})
        return next((version for version in others if self._covered((model, version))), wanted)

    def _covered(self, kind: Kind) -> bool:
        model = self.tree.models.get(kind[0])
        return model is not None and covers(self._usable(kind), model.layers)

    def take_route(self, kind: Kind, without: frozenset[BackendId] = frozenset()) -> Route | None:
        """Take a place on a route at once, if one has room.

        :param kind: model and version.
        :param without: servers not to use.
        :return: the route, or nothing.
        """
        usable = self._usable(kind, without)
        stages = choose_route(
            [s for s in usable if s.has_room()],
            self.tree.models[kind[0]].layers,
            self.hall,  # type: ignore[arg-type]
            lambda one, other: link_milliseconds(self.tree, one, other) / 1000,
            self.rng,
        )
        if stages is None:
            return None
        for stage in stages:
            self.backends.states[stage.backend].in_flight += 1
        return Route(stages)

    def leave(self, route: Route) -> None:
        """Give back the places of a route and serve who waits."""
        for stage in route.stages:
            state = self.backends.states.get(stage.backend)
            if state is not None and state.in_flight > 0:
                state.in_flight -= 1
        self.dispatch_all()

    def check_coverage(self, kind: Kind, without: frozenset[BackendId] = frozenset()) -> None:
        """Check that live servers cover the model.

        :param kind: model and version.
        :param without: servers not to use.
        :raises NoRoute: when they do not.
        """
        model = self.tree.models.get(kind[0])
        if model is not None and covers(self._usable(kind, without), model.layers):
            return
        raise NoRoute(
            f"no live servers cover {kind[0]} {kind[1]}",
            step="route",
            retry_after=spread_retry_after(NO_ROUTE_RETRY_AFTER, self.rng),
        )

    def dispatch_all(self) -> None:
        """Serve whoever waits and can be served."""
        for kind, line in self.lines.items():
            if len(line):
                self._dispatch(kind, line)

    def fail_uncovered(self) -> None:
        """Refuse at once those who wait for a model that no live servers cover."""
        for kind, line in self.lines.items():
            if not len(line):
                continue
            try:
                self.check_coverage(kind)
            except NoRoute as error:
                for waiting in line.all():
                    line.remove(waiting)
                    waiting.entry.send_exception(error)

    def speed(self, kind: Kind) -> Speed:
        """Return what was measured of a version of a model."""
        if kind not in self.speeds:
            self.speeds[kind] = Speed()
        return self.speeds[kind]

    def _dispatch(self, kind: Kind, line: Line) -> None:
        while len(line):
            route = self.take_route(kind)
            if route is None:
                return
            waiting = line.pop()
            assert waiting is not None
            self.usage.charge(waiting.group, waiting.cost)
            waiting.entry.send(route)

    def _wait(self, request: Completion, line: Line) -> Route:
        turn = Event()
        latest = request.deadline - self._service_seconds(request)
        waiting = Waiting(request.group, request.priority, request.cost, latest, turn)
        line.push(waiting)
        try:
            with eventlet.Timeout(max(0.0, latest - now()), False):
                granted: Route = turn.wait()
                return granted
        except BaseException:
            # The caller left: a turn that came in the same moment is given back.
            if not line.remove(waiting) and turn.has_result():
                self._give_back(request, turn)
            raise
        if line.remove(waiting):
            raise self._too_late(line, request)
        # The turn came in the same moment as the time-out.
        late_grant: Route = turn.wait()
        return late_grant

    def _give_back(self, request: Completion, turn: Event) -> None:
        self.usage.charge(request.group, -request.cost)
        self.leave(turn.wait())

    def _refuse_if_too_late(self, request: Completion, line: Line) -> None:
        wait = self._wait_seconds(request, line)
        if wait * WAIT_MARGIN + self._service_seconds(request) > request.seconds_left():
            raise self._too_late(line, request)

    def _too_late(self, line: Line, request: Completion) -> BaygladeError:
        wait = self._wait_seconds(request, line)
        return Overloaded(
            "the deadline cannot be met behind the work that waits",
            step="admission",
            retry_after=spread_retry_after(wait, self.rng),
        )

    def _service_seconds(self, request: Completion) -> float:
        speed = self.speed((request.model, request.version))
        return speed.safe() * request.max_tokens

    def _wait_seconds(self, request: Completion, line: Line) -> float:
        speed = self.speed((request.model, request.version))
        # What runs now is a bound from below while few answers have ended.
        running = self._in_flight(request) / speed.seconds_per_token
        rate = max(speed.served.rate(now()), running)
        ahead = line.cost_before(request.group)
        return ahead / rate if rate > 0 else 0.0

    def _in_flight(self, request: Completion) -> int:
        """Return how many requests of this daemon the first stages of a model run."""
        states = self.backends.of_model(request.model, request.version)
        return sum(state.in_flight for state in states if state.facts.first == 0)

    def _usable(self, kind: Kind, without: frozenset[BackendId] = frozenset()) -> list[BackendState]:
        at = now()
        states = self.backends.of_model(*kind)
        return [s for s in states if s.usable(at) and s.id not in without]

    def _line(self, kind: Kind) -> Line:
        if kind not in self.lines:
            self.lines[kind] = ShareQueue(self.usage, self._share_of)
        return self.lines[kind]

    def share_of_group(self, path: GroupPath) -> float:
        """Return the share of a group."""
        return self._share_of(path)[1]

    def _share_of(self, path: GroupPath) -> tuple[int, float]:
        try:
            return priority_of(self.tree, path), level_at(self.tree, path).share
        except BaygladeError:
            # The group went away while its requests waited.
            return 0, 1.0
