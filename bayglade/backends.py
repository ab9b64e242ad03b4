"""State that a daemon keeps of each backend server: load, speed, health and concurrency limit."""

import random

import msgspec

from bayglade.clock import now
from bayglade.engines.wire import Load
from bayglade.ids import BackendId, ModelName, Version
from bayglade.settings import Backend, Tree

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
MAX_LIMIT = 512.0
LIMIT_DECREASE_FACTOR = 0.85
DECREASE_INTERVAL = 0.5
MAX_WAITING_FRACTION = 0.25
"""Number of requests that may wait at a server, as a fraction of its slots, before its limit is lowered."""
FAILURES_TO_EJECT = 1
EJECT_SECONDS = 1.0
MAX_EJECT_SECONDS = 15.0
MAX_EJECTED_FRACTION = 0.5
LIMIT_AFTER_EJECTION = 1.0
INITIAL_SECONDS_PER_LAYER = 0.001
LEARNING_RATE = 0.2


class BackendState:
    """The state of one backend server; times are monotonic seconds.

    ``limit`` is the number of requests that this daemon may have in flight there.
    It adapts to the server's load, up to ``ceiling``.
    """

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
        self.limit = INITIAL_LIMIT
        self.ceiling = MAX_LIMIT
        self.decreased_at = 0.0
        self.failures = 0
        self.ejected_until = 0.0
        self.leaving = False
        self.reported: Load | None = None
        self.seconds_per_layer = INITIAL_SECONDS_PER_LAYER

    def __repr__(self) -> str:
        return (
            f"<BackendState {self.id} {self.in_flight}/{self.limit:.1f}"
            f" failures={self.failures} leaving={self.leaving}>"
        )

    def usable(self, at: float) -> bool:
        """Tell whether it may get new requests at all."""
        return not self.leaving and at >= self.ejected_until

    def versions(self) -> tuple[Version, ...]:
        """Return the versions that it serves according to its report, or else to the settings."""
        if self.reported is None or not (self.reported.versions or self.reported.loading):
            return (self.facts.version,)
        return tuple(self.reported.versions)

    def set_version(self, version: Version) -> None:
        """Store that, according to another daemon, the server now holds exactly one version."""
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
        self.share = 1.0
        self.states: dict[BackendId, BackendState] = {}
        self.by_model: dict[ModelName, list[BackendState]] = {}

    def __repr__(self) -> str:
        return f"<Backends {len(self.states)}>"

    def sync(self, tree: Tree) -> None:
        """Apply a new revision of the settings, keeping the state of unchanged servers.

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

    def record_failure(self, backend_id: BackendId) -> None:
        """Record a failure and eject the server for a while, unless too many are ejected already.

        :param backend_id: the server that failed.
        """
        state = self.states.get(backend_id)
        if state is None:
            return
        state.failures += 1
        state.limit = max(MIN_LIMIT, state.limit * LIMIT_DECREASE_FACTOR)
        if state.failures < FAILURES_TO_EJECT or not self._may_eject(state):
            return
        seconds = min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2 ** (state.failures - 1))
        state.ejected_until = now() + seconds * self.rng.uniform(0.8, 1.2)
        state.limit = LIMIT_AFTER_EJECTION

    def record_success(self, backend_id: BackendId) -> None:
        """Record that a server took part in a complete answer.

        :param backend_id: the server.
        """
        state = self.states.get(backend_id)
        if state is None:
            return
        state.failures = 0
        if state.in_flight < int(state.limit):
            return
        # Up to a ceiling given by the server's slots, the limit grows by one per answer; without one, by
        # about one per round of answers.
        step = 1.0 if state.limit < state.ceiling < MAX_LIMIT else 1.0 / state.limit
        state.limit = min(state.ceiling, state.limit + step)

    def apply_report(self, backend_id: BackendId, load: Load) -> None:
        """Apply what a server reports about itself.

        :param backend_id: the server.
        :param load: its report. Requests waiting there mean that the limit is too high.
        """
        state = self.states.get(backend_id)
        if state is None:
            return
        first = state.reported is None
        state.reported = load
        self._set_ceiling(state)
        if first and state.limit >= INITIAL_LIMIT:
            state.limit = state.ceiling
        if load.leaving:
            state.leaving = True
        at = now()
        if load.waiting > load.slots * MAX_WAITING_FRACTION and at - state.decreased_at > DECREASE_INTERVAL:
            state.limit = max(MIN_LIMIT, state.limit * LIMIT_DECREASE_FACTOR)
            state.decreased_at = at

    def set_share(self, share: float) -> None:
        """Set the share of every server's slots that this daemon may use.

        :param share: between 0 and 1, see :mod:`bayglade.division`.
        """
        self.share = share
        for state in self.states.values():
            self._set_ceiling(state)

    def _set_ceiling(self, state: BackendState) -> None:
        if state.reported is None:
            return
        before = state.ceiling
        state.ceiling = min(MAX_LIMIT, max(MIN_LIMIT, float(round(state.reported.slots * self.share))))
        if state.limit >= before:
            # The limit was at its ceiling, and stays there.
            state.limit = state.ceiling

    def learn_speed(self, layers: dict[BackendId, int], seconds_per_token: float) -> None:
        """Update the speed estimates of the servers of a route after an answer.

        This is one step of normalized least mean squares: the prediction error is
        distributed in proportion to the number of layers that each server ran.

        :param layers: the number of layers that each server ran.
        :param seconds_per_token: the time measured for the whole route.
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
