"""Intake: turns a caller's request into a call, under the settings in force."""

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
from bayglade.retries import spread_retry_after
from bayglade.revisions import EMPTY, Current
from bayglade.settings import CallerLimits, Tree, digest_of, level_at, priority_of

TRUST_MARGIN = 1.2
"""Seconds before the bound on old keys at which requests with keys are refused: a send takes
time, and a feed may hear nothing for a second while the store drops its history."""
STALE_OF_TRUST = 0.75
"""Settings older than this part of that bound refuse nobody for good: the caller may be right
by newer ones."""
HOLD_SECONDS = 0.3
"""How long a call waits for other daemons to confirm the settings: several times as long as that takes
when they run."""
ELSEWHERE_SECONDS = 0.03
"""When to come back where another daemon can answer at once; callers reach another one then."""


class Intake:
    """The settings in force, as requests are judged by them.

    :param dialect: how callers speak.
    :param age: returns the seconds since the settings were surely the newest.
    :param key_trust: bound on that age for requests with keys, in seconds.
    :param rng: source of chance.
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
        """Sent once they were."""

        self.decode: Callable[[msgspec.Raw], tuple[int, Tree]] | None = None
        """Reads a document that another daemon has."""

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
        """Take in settings that another daemon has.

        :param revision: their version.
        :param digest: digest of the document.
        :param document: the document as the operator wrote it.
        """
        if revision <= self.version or self.decode is None or digest_of(document) != digest:
            return
        try:
            version, tree = self.decode(msgspec.Raw(document))
        except InvalidSettings as error:
            event("ERROR", "settings refused", error=repr(error), in_force=self.version)
            return
        self.take(version, tree, document)

    def take(self, version: int, tree: Tree, document: bytes) -> None:
        """Take in settings, whole, and only newer ones.

        :param version: their version.
        :param tree: the settings.
        :param document: what they were read from, for the other daemons.
        """
        if version <= self.version:
            if version < self.version:
                event("WARNING", "older settings ignored", version=version, in_force=self.version)
            return
        event(
            "INFO", "settings in force", version=version, before=self.version, endpoints=len(tree.endpoints)
        )
        self.endpoints = Endpoints(tree.endpoints)
        self.directory = Directory(tree)
        self.tree = tree
        self.current = Current(Revision(version), digest_of(document), document, tree)

    def limits(self) -> CallerLimits:
        """Return the bounds for new connections."""
        return self.tree.caller_limits

    def pipelines(self) -> dict[ServiceName, Pipeline]:
        """Return the models that run as pipelines, by service."""
        return {name: s.pipeline for name, s in self.tree.services.items() if s.pipeline is not None}

    def share_of(self, path: GroupPath) -> tuple[int, float]:
        """Return priority and share of a group, for the order of those who wait."""
        try:
            return priority_of(self.tree, path), level_at(self.tree, path).share
        except NotFound:
            # The group went away while its requests waited.
            return 0, 1.0

    def call(self, message: Message) -> Call:
        """Judge a request.

        :param message: the request, whole.
        :return: the call to be relayed.
        :raises BaygladeError: when it is refused; nothing ran.
        """
        arrived = now()
        head = self.dialect.read_call(message)
        if not self.version:
            raise self._cut_off("no settings are known yet")
        if not self.caught_up and not self._await_others():
            raise self._cut_off("other daemons may have newer settings")
        try:
            endpoint = self.endpoints.find(head.host, message.target.decode("latin-1"))
            group = self._group(head, endpoint)
        except (NotFound, Unauthenticated) as error:
            if self.age() > STALE_OF_TRUST * self.key_trust:
                raise self._cut_off("the settings known here are old") from error
            raise
        seconds = endpoint.timeout if head.seconds is None else min(head.seconds, endpoint.timeout)
        call = Call(
            head=head,
            endpoint=endpoint,
            service=endpoint.choose(self.rng),
            group=group,
            priority=self._priority(endpoint, group),
            arrived=arrived,
            deadline=arrived + seconds,
            method=message.method,
            target=message.target,
            headers=message.headers,
            body=message.body(),
        )
        self.check(call)
        return call

    def catch_up(self) -> None:
        """Note that other daemons have no newer settings, as far as can be known."""
        self.caught_up = True
        if not self.confirmed.ready():
            self.confirmed.send()

    def _await_others(self) -> bool:
        """Hold a call for the moment in which other daemons are asked; tell whether it may go on.

        All callers come at once when all daemons start again, and each refusal costs them a try.
        """
        with eventlet.Timeout(HOLD_SECONDS, False):
            self.confirmed.wait()
        return self.caught_up

    def trusted(self) -> bool:
        """Tell whether what is known of keys is fresh enough to run requests that carry one."""
        return self.age() <= self.key_trust - TRUST_MARGIN

    def check(self, call: Call) -> None:
        """Refuse a request whose key was, or may have been, taken away in the meantime.

        A daemon that was stopped and goes on finds its knowledge old here, right
        before it would send. A stream may wait for as long as its deadline allows
        before it is sent anew: without a second look its key would hold that long.

        :param call: the call.
        :raises CutOff: when what is known of keys is too old.
        :raises Unauthenticated: when its account no longer has the key.
        """
        if call.group is None:
            return
        if not self.trusted():
            raise self._cut_off("what is known here of keys is too old")
        if self.tree.accounts and self.directory.account(call.head.key or "").group != call.group:
            raise Unauthenticated("the key has another account now", step="authenticate", peer="caller")

    def _group(self, head: CallHead, endpoint: Endpoint) -> GroupPath | None:
        if endpoint.public or not self.tree.accounts:
            return None
        return self.directory.account(head.key or "").group

    def _priority(self, endpoint: Endpoint, group: GroupPath | None) -> int:
        if group is None or self.tree.root.groups[group].priority is None:
            return endpoint.priority
        return priority_of(self.tree, group)

    def _cut_off(self, message: str) -> BaygladeError:
        again = spread_retry_after(ELSEWHERE_SECONDS, self.rng, ELSEWHERE_SECONDS)
        return CutOff(message, step="intake", retry_after=again)
