"""Intake: validates and authorises requests under the settings in force."""

import math
import random
from collections.abc import Callable

import eventlet
import msgspec
from eventlet.event import Event

from bayglade.calls import Call, CallHead, Dialect
from bayglade.clock import now
from bayglade.directory import Directory
from bayglade.endpoints import Endpoint, Endpoints
from bayglade.exceptions import BaygladeError, CutOff, InvalidSettings, NotFound, Unauthenticated
from bayglade.http1 import Message
from bayglade.ids import Digest, GroupPath, Revision, ServiceName
from bayglade.logs import event
from bayglade.pipelines import Pipeline
from bayglade.retries import retry_elsewhere
from bayglade.revisions import EMPTY, Current
from bayglade.settings import CallerLimits, Tree, digest_of, level_at, priority_of, urgency_of

TRUST_MARGIN = 1.2
"""Safety margin in seconds below the bound on the age of keys, at which requests with keys are refused.
Sending takes time, and a feed may receive nothing for a second while the store discards its history."""
STALE_FRACTION = 0.75
"""Fraction of that bound beyond which settings are too old to reject a key or path permanently: newer
settings may allow the request."""
CONFIRMATION_HOLD_SECONDS = 0.3
"""Seconds for which a call waits for other daemons to confirm the settings; confirmation takes a fraction
of that when they are running."""
HOLD_SECONDS = 0.4
"""Seconds for which a call is held in all, for the first settings and their confirmation. A refusal would
cost the caller its one retry, and no caller leaves in that time."""
HOLD_FRACTION = 1 / 3
"""Fraction of its time left for which a call is held at most, so that a caller refused then can still
retry; callers honour ``Retry-After`` up to the same fraction."""
MAX_HELD = 200
"""Limit on calls held at a time; each keeps its connection and its body in memory."""


class Intake:
    """The settings in force, as they apply to requests.

    :param dialect: the protocol of the callers.
    :param age: returns the seconds since the settings were known to be current.
    :param key_trust: limit on that age for requests with keys, in seconds.
    :param rng: random number generator.
    """

    def __init__(
        self, dialect: Dialect, age: Callable[[], float], key_trust: float, rng: random.Random
    ) -> None:
        self.dialect = dialect
        self.age = age
        self.key_trust = key_trust
        self.rng = rng
        self.current = EMPTY
        self.caught_up = True
        """Whether other daemons were asked for newer settings since this one started."""

        self.confirmed = Event()
        """Set once they were."""

        self.known = Event()
        """Set once settings are in force."""

        self.expects_settings: Callable[[], bool] = lambda: False
        """Returns whether the first settings are expected within the time for which calls are held."""

        self.required = Revision(0)
        """Settings by which another daemon serves callers of this one. Serving other calls by older ones
        would undo for a caller what an earlier call showed."""

        self.behind_since = 0.0
        """When these settings were first required, in monotonic seconds."""

        self.waived = Revision(0)
        """Settings that are not required any more, because no daemon provides them."""

        self.reached = Event()
        """Set once the required settings are in force."""

        self.held = 0
        """Calls that are held for settings or their confirmation."""

        self.decode: Callable[[msgspec.Raw], tuple[int, Tree]] | None = None
        """Decodes a document received from another daemon."""

        self.tree = Tree()
        self.endpoints = Endpoints([])
        self.directory = Directory(self.tree)

    def __repr__(self) -> str:
        return f"<Intake version={self.version} age={self.age():.1f}>"

    @property
    def version(self) -> int:
        """Return the version in force; 0 when none is known yet."""
        return self.current.revision

    def offer(self, revision: Revision, digest: Digest, document: bytes) -> None:
        """Apply settings received from another daemon if they are newer and valid.

        :param revision: their version.
        :param digest: the expected digest of the document.
        :param document: the document as the operator wrote it.
        """
        if revision <= self.version or self.decode is None or digest_of(document) != digest:
            return
        try:
            version, tree = self.decode(msgspec.Raw(document))
        except InvalidSettings as error:
            event("ERROR", "settings refused", error=repr(error), in_force=self.version)
            return
        self.apply(version, tree, document)

    def apply(self, version: int, tree: Tree, document: bytes) -> None:
        """Apply settings as a whole if they are newer.

        :param version: their version.
        :param tree: the settings.
        :param document: the document they were decoded from, for the other daemons.
        """
        if version <= self.version:
            if version < self.version:
                event("WARNING", "older settings ignored", version=version, in_force=self.version)
            return
        event(
            "INFO",
            "settings in force",
            version=version,
            before=self.version,
            endpoints=len(tree.endpoints),
            accounts=len(tree.accounts) if tree.keys_required else "open",
        )
        self.endpoints = Endpoints(tree.endpoints)
        self.directory = Directory(tree)
        self.tree = tree
        self.current = Current(Revision(version), digest_of(document), document, tree)
        if not self.known.ready():
            self.known.send()
        if not self.is_behind() and not self.reached.ready():
            self.reached.send()

    def is_behind(self) -> bool:
        """Return whether newer settings than those known here are known to be in force."""
        return self.required > self.version

    def oldest_allowed(self) -> Revision:
        """Return the oldest settings by which calls of this daemon's callers may be served."""
        return max(Revision(self.version), self.required)

    def require(self, revision: Revision) -> bool:
        """Serve no call by settings older than these from now on.

        :param revision: settings by which another daemon serves callers of this one.
        :return: whether they are still to be fetched.
        """
        if revision > max(self.oldest_allowed(), self.waived):
            event("INFO", "newer settings known", revision=revision, in_force=self.version)
            if not self.is_behind():
                self.behind_since = now()
            self.required = revision
            if self.reached.ready():
                self.reached = Event()
        return self.is_behind()

    def waive(self) -> None:
        """Serve by the settings in force, because no daemon provides the required ones."""
        event("WARNING", "newer settings not found", revision=self.required, in_force=self.version)
        self.waived, self.required = self.required, Revision(0)
        if not self.reached.ready():
            self.reached.send()

    def limits(self) -> CallerLimits:
        """Return the limits for new connections."""
        return self.tree.caller_limits

    def pipelines(self) -> dict[ServiceName, Pipeline]:
        """Return the services that run a model as a pipeline."""
        return {name: s.pipeline for name, s in self.tree.services.items() if s.pipeline is not None}

    def share_of(self, path: GroupPath) -> tuple[int, float]:
        """Return the priority and share of a group, which order waiting requests."""
        try:
            return priority_of(self.tree, path), level_at(self.tree, path).share
        except NotFound:
            # The group was removed while its requests waited.
            return 0, 1.0

    def call(self, message: Message) -> Call:
        """Authorise a request and turn it into a call.

        :param message: the complete request.
        :return: the call to relay.
        :raises BaygladeError: when it is refused; nothing was run.
        """
        arrived = now()
        head = self.dialect.read_call(message)
        until = arrived + _hold_limit(head)
        if not self.version and not self._await_settings(until):
            raise self.unknown_settings()
        if not self.caught_up and not self._await_confirmation(until):
            raise self._cut_off("other daemons may have newer settings")
        if self.is_behind():
            self._await_required(until)
        try:
            endpoint = self.endpoints.find(head.host, message.target.decode("latin-1"))
            group = self._group(head, endpoint)
        except (NotFound, Unauthenticated) as error:
            if self.is_behind() or self.age() > STALE_FRACTION * self.key_trust:
                raise self._cut_off("the settings known here may be outdated") from error
            raise
        seconds = (
            endpoint.timeout
            if head.timeout_seconds is None
            else min(head.timeout_seconds, endpoint.timeout)
        )
        call = Call(
            head=head,
            endpoint=endpoint,
            service=endpoint.choose(self.rng),
            group=group,
            priority=self._urgency(endpoint, group),
            arrived=arrived,
            deadline=arrived + seconds,
            method=message.method,
            target=message.target,
            headers=message.headers,
            body=message.take_body(),
            revision=self.version,
            must_forward=self.is_behind(),
        )
        self.check(call)
        return call

    def unknown_settings(self) -> BaygladeError:
        """Return the refusal of a request while no settings are known."""
        return self._cut_off("no settings are known yet")

    def confirm_settings(self) -> None:
        """Record that other daemons have no newer settings, as far as can be determined."""
        self.caught_up = True
        if not self.confirmed.ready():
            self.confirmed.send()

    def _await_settings(self, until: float) -> bool:
        """Hold a call while the first settings are expected; return whether there are settings.

        The balancer sends callers to a daemon that accepts connections while no daemon is ready, and after
        a power loss of all daemons none of them is.
        """
        if self.expects_settings():
            self._hold(self.known, until)
        return self.version > 0

    def _await_confirmation(self, until: float = math.inf) -> bool:
        """Hold a call while other daemons are asked for newer settings; return whether it may continue.

        After a restart of all daemons all callers arrive at once, and each refusal costs them an attempt.
        """
        self._hold(self.confirmed, min(until, now() + CONFIRMATION_HOLD_SECONDS))
        return self.caught_up

    def _await_required(self, until: float) -> None:
        """Hold a call while newer settings are fetched, which takes some milliseconds."""
        self._hold(self.reached, min(until, self.behind_since + HOLD_SECONDS))

    def _hold(self, awaited: Event, until: float) -> None:
        """Wait for an event until a time, unless too many calls are held already."""
        if self.held >= MAX_HELD or until <= now():
            return
        self.held += 1
        try:
            with eventlet.Timeout(until - now(), False):
                awaited.wait()
        finally:
            self.held -= 1

    def keys_trusted(self) -> bool:
        """Return whether the known keys are recent enough to run requests that carry one."""
        return self.age() <= self.key_trust - TRUST_MARGIN

    def check(self, call: Call) -> None:
        """Refuse a request whose key was, or may have been, revoked in the meantime.

        A daemon that resumes after a suspension detects here, right before sending, that its settings are
        outdated. A stream may wait as long as its deadline allows before it is sent again; without this
        second check a revoked key would stay usable that long. A request that needed no key when it was
        read gets the group of its key if it needs one now.

        :param call: the call.
        :raises CutOff: when the known keys are too old.
        :raises Unauthenticated: when its account no longer has the key, or it needs one now and has none.
        """
        group = (
            call.group if call.revision == self.version else self._group(call.head, self._endpoint_of(call))
        )
        if call.group is None and group is None:
            return
        if not self.keys_trusted():
            raise self._cut_off("the keys known here are too old to trust")
        if call.group is None:
            call.group = group
        elif group is not None and group != call.group:
            raise Unauthenticated(
                "the key now belongs to another group", step="authenticate", peer="caller"
            )

    def _endpoint_of(self, call: Call) -> Endpoint:
        """Return the endpoint in force for a call; its own if there is none any more."""
        try:
            return self.endpoints.find(call.head.host, call.target.decode("latin-1"))
        except NotFound:
            return call.endpoint

    def _group(self, head: CallHead, endpoint: Endpoint) -> GroupPath | None:
        """Return the group of the account whose key a request carries; None if it needs none.

        :raises Unauthenticated: if it needs a key, and no account has the one it carries.
        """
        if endpoint.public or not self.tree.keys_required:
            return None
        return self.directory.account(head.key or "").group

    def _urgency(self, endpoint: Endpoint, group: GroupPath | None) -> int:
        own = None if group is None else self.tree.root.groups[group].priority
        return urgency_of(own, endpoint.priority)

    def _cut_off(self, message: str) -> BaygladeError:
        return CutOff(message, step="intake", retry_after=retry_elsewhere(self.rng))


def _hold_limit(head: CallHead | None) -> float:
    """Return for how many seconds a call may be held; it is never held past its deadline."""
    if head is None or head.timeout_seconds is None:
        return HOLD_SECONDS
    return min(HOLD_SECONDS, HOLD_FRACTION * head.timeout_seconds)
