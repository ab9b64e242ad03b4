"""The router: one object through which every request of a caller passes."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

from bayglade.admission import Admission
from bayglade.backends import Backends
from bayglade.claims import Claim, Claims, Kept
from bayglade.clock import now
from bayglade.completions import Answer, Completions
from bayglade.division import own_fraction
from bayglade.engines import Engines
from bayglade.exceptions import (
    BackendError,
    BackendUnreachable,
    BaygladeError,
    DeadlinePassed,
    NoRoute,
    Outcome,
)
from bayglade.ids import BackendId, GroupPath
from bayglade.limits import GroupLimits
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.models import Completion, Request, ServiceRequest
from bayglade.retries import RetryBudget, spread_retry_after
from bayglade.services import Services
from bayglade.services.wire import ServiceAnswer
from bayglade.settings import ROOT, Service, Tree
from bayglade.trust import Trust
from bayglade.usage import USAGE_TAU, Usage

AVOID_SECONDS = 2.0
SERVICE_COST = 1.0
CAPACITY_MARGIN = 1.05
"""What is served now, and a little more, stands for what the pool can serve."""


class Router:
    """Serves completions and calls to plain services under the settings in force."""

    def __init__(
        self,
        engines: Engines,
        services: Services,
        claims: Claims,
        trust: Trust,
        metrics: Metrics,
        hall: str,
        rng: random.Random,
    ) -> None:
        self.services = services
        self.claims = claims
        self.trust = trust
        self.metrics = metrics
        self.rng = rng
        self.tree = Tree()
        self.usage = Usage()
        self.backends = Backends(rng)
        self.admission = Admission(self.backends, self.usage, rng, hall)
        self.completions = Completions(engines, self.admission, trust, metrics, rng)
        self.limits = GroupLimits(self.usage)
        self.avoid_until: dict[BackendId, float] = {}
        self.leaving: set[BackendId] = set()
        self.service_budgets: dict[GroupPath, RetryBudget] = {}
        self.active: dict[str, Request] = {}

    def __repr__(self) -> str:
        return f"<Router {len(self.active)} in flight>"

    def sync(self, tree: Tree) -> None:
        """Take in a new revision of the settings."""
        self.tree = tree
        self.admission.sync(tree)

    def divide(self, heard: int) -> None:
        """Work out anew which part of every server this daemon may fill.

        :param heard: how many daemons are heard, this one included.
        """
        at = now()
        part = own_fraction(
            self.usage.local_demand(at),
            self.usage.total_demand(at),
            self.admission.share_of_group,
            self.usage.total(ROOT, at) / USAGE_TAU * CAPACITY_MARGIN,
            heard,
            self.trust.member_count(),
        )
        self.backends.divide(part)

    def claim(self, request: Request, body_sha256: str) -> Claim | Kept | None:
        """Claim a request that may not be repeated.

        :param request: the request.
        :param body_sha256: digest of all that makes it another request.
        :return: nothing when it is repeatable; the claim; or the kept answer.
        :raises BaygladeError: when it may not run.
        """
        if request.repeatable or request.idempotency_key is None:
            return None
        self.trust.check()
        return self.claims.claim(request.group, request.idempotency_key, body_sha256, request.deadline)

    def complete(self, request: Completion, answer: Answer, claim: Claim | None) -> Iterator[str]:
        """Run a completion; closing the iterator cancels it.

        :param request: the request.
        :param answer: filled as tokens come.
        :param claim: the claim of a request that may not be repeated.
        :return: tokens, in order.
        :raises BaygladeError: when the answer cannot be made whole.
        """
        with self._admitted(request, request.cost, claim):
            yield from self.completions.run(request, answer)

    def call(self, request: ServiceRequest, claim: Claim | None) -> ServiceAnswer:
        """Call a plain service.

        :param request: the request.
        :param claim: the claim of a request that may not be repeated.
        :return: the whole answer of the service.
        :raises BaygladeError: when there is none.
        """
        with self._admitted(request, SERVICE_COST, claim):
            answer = self._call_one_of(request, self.tree.services[request.service])
        if claim is not None:
            self.claims.keep(claim, answer)
        return answer

    @contextmanager
    def _admitted(self, request: Request, cost: float, claim: Claim | None) -> Iterator[None]:
        """Hold a place under all limits; a claim of what was not run is given back."""
        try:
            self.trust.check()
            self.limits.acquire(self.tree, request.group, cost, self.trust.member_count())
            self.active[request.id] = request
            try:
                yield
            finally:
                del self.active[request.id]
                self.limits.give_back(request.group)
        except BaygladeError as error:
            if claim is not None and error.outcome is Outcome.NOT_RUN:
                self.claims.release(claim)
            raise

    def _call_one_of(self, request: ServiceRequest, service: Service) -> ServiceAnswer:
        budget = self.service_budgets.setdefault(request.group, RetryBudget())
        budget.request()
        last: BackendError | None = None
        ran = False
        for backend in self._ordered(service):
            if last is not None and not budget.retry():
                break
            if request.seconds_left() <= 0:
                raise self._too_late(last, ran)
            try:
                return self._call(request, service, backend)
            except BackendError as error:
                last = error
                ran = ran or error.outcome is not Outcome.NOT_RUN
                self.avoid_until[backend] = now() + AVOID_SECONDS
                event("WARNING", "call failed", request=request.id, error=repr(error))
                if not request.repeatable and not isinstance(error, BackendUnreachable):
                    raise
        if last is None:
            raise NoRoute(
                f"no server of {request.service} is live",
                step="route",
                retry_after=spread_retry_after(2.0, self.rng),
            )
        if ran:
            last.outcome = Outcome.UNKNOWN
        raise last

    def _call(self, request: ServiceRequest, service: Service, backend: BackendId) -> ServiceAnswer:
        # A daemon that was stopped in between must not act on what it knew then.
        self.trust.check()
        timeout = min(service.timeout_seconds, request.seconds_left())
        address = service.servers[backend]
        return self.services.call(backend, address, request.call, timeout, not request.repeatable)

    def _ordered(self, service: Service) -> list[BackendId]:
        """Order the servers: shuffled, those that failed lately last, none that leave."""
        at = now()
        servers = [backend for backend in service.servers if backend not in self.leaving]
        self.rng.shuffle(servers)
        return sorted(servers, key=lambda backend: self.avoid_until.get(backend, 0.0) > at)

    def _too_late(self, last: BackendError | None, ran: bool) -> BaygladeError:
        outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
        peer = last.peer if last is not None else ""
        return DeadlinePassed("the deadline passed", step="call", peer=peer, outcome=outcome)
