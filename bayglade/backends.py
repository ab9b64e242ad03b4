"""What a daemon knows of each backend server: load, speed, health and limit."""

import random

import msgspec

from bayglade.clock import now
from bayglade.engines.wire import Load
from bayglade.ids import BackendId, ModelName, Version
from bayglade.settings import Backend, Tree

FIRST_LIMIT = 4.0
MIN_LIMIT = 1.0
MAX_LIMIT = 512.0
LIMIT_DECREASE = 0.85
DECREASE_INTERVAL = 0.5
MAX_WAITING_PART = 0.25
"""Part of a server's slots that may wait there before the limit falls."""
FAILURES_TO_EJECT = 1
EJECT_SECONDS = 1.0
MAX_EJECT_SECONDS = 15.0
MAX_EJECTED_FRACTION = 0.5
RAMP_LIMIT = 1.0
FIRST_SECONDS_PER_LAYER = 0.001
LEARNING_RATE = 0.2


class BackendState:
    """One backend server, as this daemon knows it; times are monotonic seconds."""

    __slots__ = (
        "ceiling",
        "decreased_at",
        "ejected_until",
        "facts",
        "failures",
        "id",
        "in_flight",
        "leaving",
        "limit",
        "reported",
        "seconds_per_layer",
    )

    def __init__(self, backend_id: BackendId, facts: Backend) -> None:
        self.id = backend_id
        self.facts = facts
        self.in_flight = 0
        self.limit = FIRST_LIMIT
        self.ceiling = MAX_LIMIT
        self.decreased_at = 0.0
        self.failures = 0
        self.ejected_until = 0.0
        self.leaving = False
        self.reported: Load | None = None
        self.seconds_per_layer = FIRST_SECONDS_PER_LAYER

    def __repr__(self) -> str:
        return (
            f"<BackendState {self.id} {self.in_flight}/{self.limit:.1f}"
            f" failures={self.failures} leaving={self.leaving}>"
        )

    def usable(self, at: float) -> bool:
        """Tell whether new work may go there at all."""
        return not self.leaving and at >= self.ejected_until

    def versions(self) -> tuple[Version, ...]:
        """Return the versions it serves: by its own word, else by the settings."""
        if self.reported is None or not (self.reported.versions or self.reported.loading):
            return (self.facts.version,)
        return tuple(self.reported.versions)

    def hold(self, version: Version) -> None:
        """Take in another daemon's word that the server holds just one version by now."""
        if self.reported is not None:
            reported = msgspec.structs.replace(self.reported, versions=[version], loading=False)
            self.reported = reported

    def has_room(self) -> bool:
        """Tell whether its limit allows one more request."""
        return self.in_flight < int(min(self.limit, self.ceiling))


class Backends:
    """All backend servers of the settings in force."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.part = 1.0
        self.states: dict[BackendId, BackendState] = {}
        self.by_model: dict[ModelName, list[BackendState]] = {}

    def __repr__(self) -> str:
        return f"<Backends {len(self.states)}>"

    def sync(self, tree: Tree) -> None:
        """Take in a new revision; what was learned of a server stays.

        :param tree: the settings now in force.
        """
        old = self.states
        self.states = {}
        self.by_model = {}
        for backend_id, facts in tree.backends.items():
            state = old.get(backend_id)
            if state is None or state.facts.address != facts.address:
                state = BackendState(backend_id, facts)
            state.facts = facts
            self.states[backend_id] = state
            self.by_model.setdefault(facts.model, []).append(state)

    def of_model(self, model: ModelName, version: Version) -> list[BackendState]:
        """List the servers that hold layers of a version of a model."""
        return [state for state in self.by_model.get(model, ()) if version in state.versions()]

    def failed(self, backend_id: BackendId) -> None:
        """Note a failure; the server is ejected for a while unless too many are.

        :param backend_id: the server that failed.
        """
        state = self.states.get(backend_id)
        if state is None:
            return
        state.failures += 1
        state.limit = max(MIN_LIMIT, state.limit * LIMIT_DECREASE)
        if state.failures < FAILURES_TO_EJECT or not self._may_eject(state):
            return
        seconds = min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2 ** (state.failures - 1))
        state.ejected_until = now() + seconds * self.rng.uniform(0.8, 1.2)
        state.limit = RAMP_LIMIT

    def succeeded(self, backend_id: BackendId) -> None:
        """Note a whole answer.

        :param backend_id: the server that took part.
        """
        state = self.states.get(backend_id)
        if state is None:
            return
        state.failures = 0
        if state.in_flight < int(state.limit):
            return
        # Back to what is known to fit quickly, beyond it by one a round.
        step = 1.0 if state.limit < state.ceiling < MAX_LIMIT else 1.0 / state.limit
        state.limit = min(state.ceiling, state.limit + step)

    def report(self, backend_id: BackendId, load: Load) -> None:
        """Take in what a server says of itself.

        :param backend_id: the server.
        :param load: its report; work waiting there means the limit is too high.
        """
        state = self.states.get(backend_id)
        if state is None:
            return
        first = state.reported is None
        state.reported = load
        self._set_ceiling(state)
        if first and state.limit >= FIRST_LIMIT:
            state.limit = state.ceiling
        if load.leaving:
            state.leaving = True
        at = now()
        if load.waiting > load.slots * MAX_WAITING_PART and at - state.decreased_at > DECREASE_INTERVAL:
            state.limit = max(MIN_LIMIT, state.limit * LIMIT_DECREASE)
            state.decreased_at = at

    def divide(self, part: float) -> None:
        """Take in which part of every server this daemon may fill.

        :param part: between 0 and 1, see :mod:`bayglade.division`.
        """
        self.part = part
        for state in self.states.values():
            self._set_ceiling(state)

    def _set_ceiling(self, state: BackendState) -> None:
        if state.reported is None:
            return
        before = state.ceiling
        state.ceiling = min(MAX_LIMIT, max(MIN_LIMIT, float(round(state.reported.slots * self.part))))
        if state.limit >= before:
            # It stood at its ceiling: it moves along.
            state.limit = state.ceiling

    def learn(self, layers: dict[BackendId, int], seconds_per_token: float) -> None:
        """Learn the speed of the servers of a route from one answer.

        A normalised least-mean-squares step: the error of the prediction is
        shared out by the number of layers that each server ran.

        :param layers: how many layers each server ran.
        :param seconds_per_token: what was measured for the whole route.
        """
        states = [(self.states[i], n) for i, n in layers.items() if i in self.states]
        predicted = sum(state.seconds_per_layer * n for state, n in states)
        norm = sum(n * n for _, n in states)
        for state, n in states:
            step = LEARNING_RATE * (seconds_per_token - predicted) * n / norm
            state.seconds_per_layer = max(1e-7, state.seconds_per_layer + step)

    def _may_eject(self, state: BackendState) -> bool:
        peers = self.by_model.get(state.facts.model, [])
        at = now()
        ejected = sum(1 for peer in peers if at < peer.ejected_until)
        return ejected + 1 <= len(peers) * MAX_EJECTED_FRACTION
