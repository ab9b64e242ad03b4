"""Claims: a request that may not be repeated runs at most once.

Before such a request is sent, a row with its key is inserted in the platform's
table. Whoever finds the row gets the kept answer, or is told that the outcome
is unknown; a claim never lapses into a second run. Claims and kept answers are
written in groups, many rows in one transaction.
"""

import hashlib
import uuid
from collections import deque
from enum import Enum

import eventlet
import msgspec
from eventlet.event import Event

from bayglade import rows
from bayglade.clock import now
from bayglade.exceptions import (
    BaygladeError,
    ClaimUnresolved,
    KeyReused,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from bayglade.ids import GroupPath
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.services.wire import ServiceAnswer
from bayglade.table import Platform

MAX_ROWS = 64
LINGER = 0.004
UPDATE_LINGER = 0.25
"""Seconds that kept answers wait for claims to ride with; nobody waits for them."""
LOST_RETRY = 0.1
RUNNING_WAIT = 1.5
"""Seconds that a repeat waits for the answer of a run that may be going on."""
RUNNING_FIRST_PAUSE = 0.05
MAX_KEPT_BODY = 64 * 1024
MAX_WAITING = 4096


class ClaimState(Enum):
    """How far the request of a claim has come."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class ClaimRow(msgspec.Struct, omit_defaults=True):
    """A claim as it lies in the table."""

    attempt: str
    member: str
    body_sha256: str
    state: ClaimState
    answer: ServiceAnswer | None = None


class Claim(msgspec.Struct):
    """A claim held here: its row, the row's version and the time-out of its insert."""

    key: str
    row: ClaimRow
    version: int
    deadline: float

    def __repr__(self) -> str:
        return f"<Claim {self.row.attempt} {self.row.state.value}>"


class Kept(msgspec.Struct):
    """The answer of an earlier run under the same key."""

    answer: ServiceAnswer


class _Operation:
    """One row to write: the value, the version it replaces and who waits for it."""

    __slots__ = ("claim", "deadline", "done", "expects")

    def __init__(self, claim: Claim, expects: int, deadline: float) -> None:
        self.claim = claim
        self.expects = expects
        self.deadline = deadline
        self.done = Event()


class Claims:
    """Claims of one daemon, written in groups."""

    def __init__(self, platform: Platform, member: str, metrics: Metrics) -> None:
        self.platform = platform
        self.member = member
        self.metrics = metrics
        self.inserts: deque[_Operation] = deque()
        self.updates: deque[_Operation] = deque()
        self.committing = False

    def __repr__(self) -> str:
        return f"<Claims {self.waiting()} to write>"

    def claim(self, group: GroupPath, key: str, body_sha256: str, deadline: float) -> Claim | Kept:
        """Claim a key for one run.

        :param group: keys of different groups never meet.
        :param key: the caller's key.
        :param body_sha256: digest of method, path and body.
        :param deadline: monotonic seconds after which nobody waits any more.
        :return: the claim, or the answer kept from an earlier run.
        :raises KeyReused: when the key was used with another body.
        :raises ClaimUnresolved: when it was claimed and no answer is kept.
        :raises PlatformUnavailable: when the claim could not be written.
        """
        row = ClaimRow(uuid.uuid4().hex, self.member, body_sha256, ClaimState.CLAIMED)
        claim = Claim(_row_key(group, key), row, rows.ABSENT, deadline)
        version = self._write(claim, rows.ABSENT, deadline)
        if version is not None:
            claim.version = version
            return claim
        return self._taken(claim)

    def keep(self, claim: Claim, answer: ServiceAnswer) -> None:
        """Keep the answer of a run, in the background.

        :param claim: the claim of the run.
        :param answer: what the caller got.
        """
        if len(answer.body) > MAX_KEPT_BODY:
            event("WARNING", "answer too large to keep", attempt=claim.row.attempt)
            return
        claim.row = msgspec.structs.replace(claim.row, state=ClaimState.DONE, answer=answer)
        eventlet.spawn_n(self._write_quietly, claim)

    def release(self, claim: Claim) -> None:
        """Give a claim back whose request truly was not run, in the background.

        :param claim: the claim.
        """
        claim.row = msgspec.structs.replace(claim.row, state=ClaimState.RELEASED)
        eventlet.spawn_n(self._write_quietly, claim)

    def busy(self) -> bool:
        """Tell whether anything is still to be written."""
        return self.committing

    def waiting(self) -> int:
        """Return how many rows wait to be written."""
        return len(self.inserts) + len(self.updates)

    def _taken(self, claim: Claim) -> Claim | Kept:
        """Answer a repeat from the row that an earlier request left."""
        until = min(claim.deadline, now() + RUNNING_WAIT)
        pause = RUNNING_FIRST_PAUSE
        while True:
            version, row = self._read_row(claim)
            if row.state is ClaimState.DONE and row.answer is not None:
                return Kept(row.answer)
            if row.state is ClaimState.RELEASED:
                taken = self._write(claim, version, claim.deadline)
                if taken is not None:
                    claim.version = taken
                    return claim
            if now() + pause > until:
                break
            eventlet.sleep(pause)
            pause *= 2
        raise ClaimUnresolved(
            "an earlier request with this key has no kept answer", step="claim", retry_after=1.0
        )

    def _read_row(self, claim: Claim) -> tuple[int, ClaimRow]:
        """Read the row of another request with the same key; its version and value."""
        found = self.platform.read([claim.key]).get(claim.key)
        if found is None:
            raise PlatformUnavailable("a claim was there and is gone", step="claim", retry_after=1.0)
        row = msgspec.json.decode(found.value, type=ClaimRow)
        if row.body_sha256 != claim.row.body_sha256:
            raise KeyReused("the key was used with another body", step="claim", peer="caller")
        return found.version, row

    def _write_quietly(self, claim: Claim) -> None:
        try:
            if self._write(claim, claim.version, now() + 30.0) is None:
                event("ERROR", "claim was changed by another", attempt=claim.row.attempt)
        except BaygladeError as error:
            self.metrics.count("claims.lost")
            event("WARNING", "claim not updated", attempt=claim.row.attempt, error=repr(error))

    def _write(self, claim: Claim, expects: int, deadline: float) -> int | None:
        """Write a row through the next group; the new version, or nothing on conflict."""
        if self.waiting() >= MAX_WAITING:
            raise PlatformUnavailable("too many claims wait", step="claim", retry_after=2.0)
        operation = _Operation(claim, expects, deadline)
        queue = self.inserts if claim.row.state is ClaimState.CLAIMED else self.updates
        queue.append(operation)
        if not self.committing:
            self.committing = True
            eventlet.spawn_n(self._commit_all)
        with eventlet.Timeout(max(0.0, deadline - now()), False):
            version: int | None = operation.done.wait()
            return version
        eventlet.spawn_n(self._release_late, operation)
        raise PlatformUnavailable("the claim took too long", step="claim", retry_after=1.0)

    def _release_late(self, operation: _Operation) -> None:
        """Give back a claim that is written after its request was given up."""
        try:
            version = operation.done.wait()
        except BaygladeError:
            return
        if version is not None and operation.claim.row.state is ClaimState.CLAIMED:
            operation.claim.version = version
            self.release(operation.claim)

    def _commit_all(self) -> None:
        """Write group after group, one at a time, until nothing waits."""
        try:
            while self.waiting():
                self._linger()
                self._commit(self._next_group())
        finally:
            self.committing = False

    def _linger(self) -> None:
        """Wait a moment for company; updates alone wait longer, until a claim comes."""
        eventlet.sleep(LINGER)
        until = now() + UPDATE_LINGER
        while not self.inserts and len(self.updates) < MAX_ROWS and now() < until:
            eventlet.sleep(LINGER)

    def _next_group(self) -> list[_Operation]:
        """Take the next operations off the queue, one a row at most.

        Two inserts of one row in one transaction would both find it absent.
        """
        group: dict[str, _Operation] = {}
        later: list[_Operation] = []
        for queue in (self.inserts, self.updates):
            later.clear()
            while queue and len(group) < MAX_ROWS:
                operation = queue.popleft()
                if operation.claim.key in group:
                    later.append(operation)
                else:
                    group[operation.claim.key] = operation
            queue.extendleft(reversed(later))
        return list(group.values())

    def _commit(self, group: list[_Operation]) -> None:
        try:
            self._commit_group(group)
        except Exception as error:  # noqa: BLE001 - nobody may wait for ever
            for operation in group:
                if not operation.done.ready():
                    operation.done.send_exception(error)

    def _commit_group(self, group: list[_Operation]) -> None:
        while group:
            group = self._drop_expired(group)
            try:
                result = self.platform.transact(_transaction(group))
            except PlatformAnswerLost:
                # The same rows again: either write wins, and both are ours.
                eventlet.sleep(LOST_RETRY)
                continue
            self.metrics.count("claims.commits")
            if result.committed:
                for operation in group:
                    operation.done.send(operation.expects + 1)
                return
            conflicting = set(result.conflicts)
            self._resolve([o for o in group if o.claim.key in conflicting])
            group = [o for o in group if o.claim.key not in conflicting]

    def _drop_expired(self, group: list[_Operation]) -> list[_Operation]:
        at = now()
        for operation in group:
            if at > operation.deadline:
                error = PlatformUnavailable("the claim took too long", step="claim", retry_after=1.0)
                operation.done.send_exception(error)
        return [o for o in group if at <= o.deadline]

    def _resolve(self, conflicting: list[_Operation]) -> None:
        """Tell own writes whose answer was lost from claims of others."""
        rows = self.platform.read([o.claim.key for o in conflicting])
        for operation in conflicting:
            found = rows.get(operation.claim.key)
            mine = found is not None and _same(found, operation.claim.row)
            operation.done.send(found.version if found is not None and mine else None)


def _row_key(group: GroupPath, key: str) -> str:
    # Framed by length, so that no group and key can pass for another pair.
    content = f"{len(group)}:{group}{key}".encode()
    return "claims/" + hashlib.sha256(content).hexdigest()


def _same(found: rows.Row, row: ClaimRow) -> bool:
    kept = msgspec.json.decode(found.value, type=ClaimRow)
    return kept.attempt == row.attempt and kept.state is row.state


def _transaction(group: list[_Operation]) -> rows.Transaction:
    return rows.Transaction(
        conditions=[rows.Condition(o.claim.key, o.expects) for o in group],
        writes=[rows.Write(o.claim.key, rows.encode_value(o.claim.row)) for o in group],
    )
