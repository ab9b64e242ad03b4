"""The router: the object that handles every request of a caller."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

from bayglade.admission import Admission
from bayglade.backends import Backends
from bayglade.claims import Claim, Claims, StoredAnswer
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
from bayglade.retries import RetryBudget, jittered_retry_after
from bayglade.services import Services
from bayglade.services.wire import ServiceAnswer
from bayglade.settings import ROOT, Service, Tree
from bayglade.trust import Trust
from bayglade.usage import USAGE_TAU, Usage

FAILED_SERVER_AVOID_SECONDS = 2.0
"""How long a server of a plain service is tried last after a failure."""
SERVICE_CALL_COST = 1.0
"""What a call to a plain service counts against the token limits of its group."""
CAPACITY_MARGIN = 1.05
"""The capacity of the pool is estimated as what is served at present, plus this margin."""


class Router:
    """Serves completions and calls to plain services according to the settings in force."""

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
        self.service_retry_budgets: dict[GroupPath, RetryBudget] = {}
        self.active_requests: dict[str, Request] = {}

    def __repr__(self) -> str:
        return f"<Router {len(self.active_requests)} in flight>"

    def sync(self, tree: Tree) -> None:
        """Apply a new revision of the settings."""
        self.tree = tree
        self.admission.sync(tree)

    def update_capacity_fraction(self, heard: int) -> None:
        """Recompute the fraction of every server's capacity that this daemon may use.

        :param heard: number of daemons heard from, including this one.
        """
        at = now()
        fraction = own_fraction(
            self.usage.local_demand(at),
            self.usage.total_demand(at),
            self.admission.share_of_group,
            self.usage.total(ROOT, at) / USAGE_TAU * CAPACITY_MARGIN,
            heard,
            self.trust.member_count(),
        )
        self.backends.set_share(fraction)

    def claim(self, request: Request, body_sha256: str) -> Claim | StoredAnswer | None:
        """Claim the idempotency key of a request that must not run twice.

        :param request: the request.
        :param body_sha256: digest of everything that makes two requests with the same key different.
        :return: ``None`` if the request needs no claim; else its new claim, or the stored answer.
        :raises BaygladeError: if the request must not run.
        """
        if request.repeatable or request.idempotency_key is None:
            return None
        self.trust.check()
        return self.claims.claim(request.group, request.idempotency_key, body_sha256, request.deadline)

    def complete(self, request: Completion, answer: Answer, claim: Claim | None) -> Iterator[str]:
        """Run a completion; closing the iterator cancels it.

        :param request: the request.
        :param answer: receives the tokens as they arrive.
        :param claim: the claim, if the request must not run twice.
        :return: the tokens, in order.
        :raises BaygladeError: if the answer can't be completed.
        """
        with self._admitted(request, request.cost, claim):
            yield from self.completions.run(request, answer)

    def call(self, request: ServiceRequest, claim: Claim | None) -> ServiceAnswer:
        """Call a plain service.

        :param request: the request.
        :param claim: the claim, if the request must not run twice.
        :return: the complete answer of the service.
        :raises BaygladeError: if no server returned one.
        """
        with self._admitted(request, SERVICE_CALL_COST, claim):
            answer = self._call_with_retries(request, self.tree.services[request.service])
        if claim is not None:
            self.claims.store_answer(claim, answer)
        return answer

    @contextmanager
    def _admitted(self, request: Request, cost: float, claim: Claim | None) -> Iterator[None]:
        """Count the request against all limits; release its claim if it fails without having run."""
        try:
            self.trust.check()
            self.limits.acquire(self.tree, request.group, cost, self.trust.member_count())
            self.active_requests[request.id] = request
            try:
                yield
            finally:
                del self.active_requests[request.id]
                self.limits.give_back(request.group)
        except BaygladeError as error:
            if claim is not None and error.outcome is Outcome.NOT_RUN:
                self.claims.release(claim)
            raise

    def _call_with_retries(self, request: ServiceRequest, service: Service) -> ServiceAnswer:
        budget = self.service_retry_budgets.setdefault(request.group, RetryBudget())
        budget.note_request()
        last_error: BackendError | None = None
        may_have_run = False
        for backend in self._candidate_servers(service):
            if last_error is not None and not budget.acquire():
                break
            if request.seconds_left() <= 0:
                raise self._deadline_error(last_error, may_have_run)
            try:
                return self._call_server(request, service, backend)
            except BackendError as error:
                last_error = error
                may_have_run = may_have_run or error.outcome is not Outcome.NOT_RUN
                self.avoid_until[backend] = now() + FAILED_SERVER_AVOID_SECONDS
                event("WARNING", "call failed", request=request.id, error=repr(error))
                if not request.repeatable and not isinstance(error, BackendUnreachable):
                    raise
        if last_error is None:
            raise NoRoute(
                f"no server of {request.service} is live",
                step="route",
                retry_after=jittered_retry_after(2.0, self.rng),
            )
        if may_have_run:
            last_error.outcome = Outcome.UNKNOWN
        raise last_error

    def _call_server(self, request: ServiceRequest, service: Service, backend: BackendId) -> ServiceAnswer:
        # A daemon whose process was suspended meanwhile must not act on outdated knowledge.
        self.trust.check()
        timeout = min(service.timeout_seconds, request.seconds_left())
        address = service.servers[backend]
        return self.services.call(backend, address, request.call, timeout, not request.repeatable)

    def _candidate_servers(self, service: Service) -> list[BackendId]:
        """Return the servers that aren't leaving, shuffled, with those that failed recently last."""
        at = now()
        servers = [backend for backend in service.servers if backend not in self.leaving]
        self.rng.shuffle(servers)
        return sorted(servers, key=lambda backend: self.avoid_until.get(backend, 0.0) > at)

    def _deadline_error(self, last_error: BackendError | None, may_have_run: bool) -> BaygladeError:
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        peer = last_error.peer if last_error is not None else ""
        return DeadlinePassed("the deadline passed", step="call", peer=peer, outcome=outcome)
