"""Claims: idempotency keys that make a non-repeatable request run at most once.

Before such a request is sent, a row with its key is inserted in the platform's
table. A later request with the same key finds the row and gets the stored
answer, or an error that says that the outcome is unknown; a claim never expires,
so that it can't lead to a second run. Claims and stored answers are written in
batches, many rows in one transaction.
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
from bayglade.decoding import decode_json
from bayglade.exceptions import (
    BaygladeError,
    ClaimUnresolved,
    InvalidSettings,
    KeyReused,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from bayglade.ids import GroupPath
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.services.wire import ServiceAnswer
from bayglade.table import Platform

MAX_BATCH_ROWS = 64
BATCH_DELAY = 0.004
UPDATE_BATCH_DELAY = 0.25
"""Seconds that stored answers wait to share a batch with new claims, as no request waits for them."""
LOST_ANSWER_RETRY_DELAY = 0.1
MAX_RUNNING_WAIT = 1.5
"""Seconds that a repeated request waits for the answer of an earlier one that may still be running."""
FIRST_RUNNING_PAUSE = 0.05
UNRESOLVED_RETRY_SECONDS = 1.0
MAX_STORED_BODY = 64 * 1024
MAX_PENDING_ROWS = 4096


class ClaimState(Enum):
    """State of the request that a claim stands for."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class ClaimRow(msgspec.Struct, omit_defaults=True):
    """A claim as stored in the platform's table."""

    attempt: str
    member: str
    body_sha256: str
    state: ClaimState
    answer: ServiceAnswer | None = None


class Claim(msgspec.Struct):
    """A claim held by this daemon: its row, the row's version and the deadline of its insert."""

    key: str
    row: ClaimRow
    version: int
    deadline: float

    def __repr__(self) -> str:
        return f"<Claim {self.row.attempt} {self.row.state.value}>"


class StoredAnswer(msgspec.Struct):
    """The answer of an earlier request with the same key."""

    answer: ServiceAnswer


class _Operation:
    """One row to write: its claim, the version that it replaces and an event for the result."""

    __slots__ = ("claim", "deadline", "done", "expected_version")

    def __init__(self, claim: Claim, expected_version: int, deadline: float) -> None:
        self.claim = claim
        self.expected_version = expected_version
        self.deadline = deadline
        self.done = Event()


class Claims:
    """The claims of one daemon, written in batches."""

    def __init__(self, platform: Platform, member: str, metrics: Metrics) -> None:
        self.platform = platform
        self.member = member
        self.metrics = metrics
        self.inserts: deque[_Operation] = deque()
        self.updates: deque[_Operation] = deque()
        self.committing = False

    def __repr__(self) -> str:
        return f"<Claims {self.pending_rows()} to write>"

    def claim(self, group: GroupPath, key: str, body_sha256: str, deadline: float) -> Claim | StoredAnswer:
        """Claim a key for one run of a request.

        :param group: the group of the caller; the same key in another group is a different key.
        :param key: the caller's key.
        :param body_sha256: digest of method, path and body.
        :param deadline: monotonic seconds after which the caller no longer waits.
        :return: the claim, or the stored answer of an earlier request.
        :raises KeyReused: when the key was used with another body.
        :raises ClaimUnresolved: when the key was claimed and has no stored answer.
        :raises PlatformUnavailable: when the claim could not be written.
        """
        row = ClaimRow(uuid.uuid4().hex, self.member, body_sha256, ClaimState.CLAIMED)
        claim = Claim(_row_key(group, key), row, rows.ABSENT, deadline)
        version = self._write(claim, rows.ABSENT, deadline)
        if version is not None:
            claim.version = version
            return claim
        return self._follow_earlier_claim(claim)

    def store_answer(self, claim: Claim, answer: ServiceAnswer) -> None:
        """Store the answer of a request, in the background.

        :param claim: the claim of the request.
        :param answer: the answer that the caller got.
        """
        if len(answer.body) > MAX_STORED_BODY:
            event("WARNING", "answer too large to store", attempt=claim.row.attempt)
            return
        claim.row = msgspec.structs.replace(claim.row, state=ClaimState.DONE, answer=answer)
        eventlet.spawn_n(self._write_in_background, claim)

    def release(self, claim: Claim) -> None:
        """Release the claim of a request that is known not to have run, in the background.

        :param claim: the claim.
        """
        claim.row = msgspec.structs.replace(claim.row, state=ClaimState.RELEASED)
        eventlet.spawn_n(self._write_in_background, claim)

    def is_writing(self) -> bool:
        """Tell whether rows are still to be written."""
        return self.committing

    def pending_rows(self) -> int:
        """Return how many rows are waiting to be written."""
        return len(self.inserts) + len(self.updates)

    def _follow_earlier_claim(self, claim: Claim) -> Claim | StoredAnswer:
        """Return the answer of an earlier request with the same key, or take over its released claim.

        If the earlier request may still be running, this waits for its answer for a while.
        """
        until = min(claim.deadline, now() + MAX_RUNNING_WAIT)
        pause = FIRST_RUNNING_PAUSE
        while True:
            version, row = self._read_row(claim)
            if row.state is ClaimState.DONE and row.answer is not None:
                return StoredAnswer(row.answer)
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
            "an earlier request with this key has no stored answer",
            step="claim",
            retry_after=UNRESOLVED_RETRY_SECONDS,
        )

    def _read_row(self, claim: Claim) -> tuple[int, ClaimRow]:
        """Return the version and the value of the row of another request with the same key."""
        found = self.platform.read([claim.key]).get(claim.key)
        if found is None:
            raise PlatformUnavailable("the claim has disappeared", step="claim", retry_after=1.0)
        row = _decode_row(found)
        if row is None:
            raise ClaimUnresolved(
                "the claim of an earlier request with this key cannot be read",
                step="claim",
                retry_after=UNRESOLVED_RETRY_SECONDS,
            )
        if row.body_sha256 != claim.row.body_sha256:
            raise KeyReused("the key was used with another body", step="claim", peer="caller")
        return found.version, row

    def _write_in_background(self, claim: Claim) -> None:
        try:
            if self._write(claim, claim.version, now() + 30.0) is None:
                event("ERROR", "claim changed by another writer", attempt=claim.row.attempt)
        except BaygladeError as error:
            self.metrics.count("claims.lost")
            event("WARNING", "claim not updated", attempt=claim.row.attempt, error=repr(error))

    def _write(self, claim: Claim, expected_version: int, deadline: float) -> int | None:
        """Write a row with the next batch; return its new version, or ``None`` on a conflict."""
        if self.pending_rows() >= MAX_PENDING_ROWS:
            raise PlatformUnavailable("too many pending claims", step="claim", retry_after=2.0)
        operation = _Operation(claim, expected_version, deadline)
        queue = self.inserts if claim.row.state is ClaimState.CLAIMED else self.updates
        queue.append(operation)
        if not self.committing:
            self.committing = True
            eventlet.spawn_n(self._commit_all)
        with eventlet.Timeout(max(0.0, deadline - now()), False):
            version: int | None = operation.done.wait()
            return version
        eventlet.spawn_n(self._release_if_written, operation)
        raise PlatformUnavailable("writing the claim timed out", step="claim", retry_after=1.0)

    def _release_if_written(self, operation: _Operation) -> None:
        """Release a claim that is written after its request has timed out."""
        try:
            version = operation.done.wait()
        except BaygladeError:
            return
        if version is not None and operation.claim.row.state is ClaimState.CLAIMED:
            operation.claim.version = version
            self.release(operation.claim)

    def _commit_all(self) -> None:
        """Write batches one after another until no rows are pending."""
        try:
            while self.pending_rows():
                self._wait_for_batch()
                self._commit(self._next_batch())
        finally:
            self.committing = False

    def _wait_for_batch(self) -> None:
        """Wait for more rows to fill a batch; updates alone wait longer, until a claim is added."""
        eventlet.sleep(BATCH_DELAY)
        until = now() + UPDATE_BATCH_DELAY
        while not self.inserts and len(self.updates) < MAX_BATCH_ROWS and now() < until:
            eventlet.sleep(BATCH_DELAY)

    def _next_batch(self) -> list[_Operation]:
        """Remove the operations of the next batch from the queues, at most one for each row.

        Two inserts of the same row in one transaction would both find it absent.
        """
        batch: dict[str, _Operation] = {}
        later: list[_Operation] = []
        for queue in (self.inserts, self.updates):
            later.clear()
            while queue and len(batch) < MAX_BATCH_ROWS:
                operation = queue.popleft()
                if operation.claim.key in batch:
                    later.append(operation)
                else:
                    batch[operation.claim.key] = operation
            queue.extendleft(reversed(later))
        return list(batch.values())

    def _commit(self, batch: list[_Operation]) -> None:
        try:
            self._commit_batch(batch)
        except Exception as error:  # noqa: BLE001 - every waiting operation must get a result
            for operation in batch:
                if not operation.done.ready():
                    operation.done.send_exception(error)

    def _commit_batch(self, batch: list[_Operation]) -> None:
        while batch:
            batch = self._drop_expired(batch)
            try:
                result = self.platform.transact(_transaction(batch))
            except PlatformAnswerLost:
                # Write the same rows again: whichever write took effect, it is this daemon's own.
                eventlet.sleep(LOST_ANSWER_RETRY_DELAY)
                continue
            self.metrics.count("claims.commits")
            if result.committed:
                for operation in batch:
                    operation.done.send(operation.expected_version + 1)
                return
            conflicting = set(result.conflicts)
            self._resolve_conflicts([o for o in batch if o.claim.key in conflicting])
            batch = [o for o in batch if o.claim.key not in conflicting]

    def _drop_expired(self, batch: list[_Operation]) -> list[_Operation]:
        at = now()
        for operation in batch:
            if at > operation.deadline:
                error = PlatformUnavailable("writing the claim timed out", step="claim", retry_after=1.0)
                operation.done.send_exception(error)
        return [o for o in batch if at <= o.deadline]

    def _resolve_conflicts(self, conflicting: list[_Operation]) -> None:
        """Tell own writes whose answer was lost apart from the claims of other requests."""
        rows = self.platform.read([o.claim.key for o in conflicting])
        for operation in conflicting:
            found = rows.get(operation.claim.key)
            mine = found is not None and _is_same_write(found, operation.claim.row)
            operation.done.send(found.version if found is not None and mine else None)


def _row_key(group: GroupPath, key: str) -> str:
    # The length prefix keeps different pairs of group and key from producing the same content.
    content = f"{len(group)}:{group}{key}".encode()
    return "claims/" + hashlib.sha256(content).hexdigest()


def _is_same_write(found: rows.Row, row: ClaimRow) -> bool:
    kept = _decode_row(found)
    return kept is not None and kept.attempt == row.attempt and kept.state is row.state


def _decode_row(found: rows.Row) -> ClaimRow | None:
    """Decode the row of a claim; ``None`` if no daemon can have written it."""
    try:
        return decode_json(found.value, ClaimRow, "the row of a claim", "claim")
    except InvalidSettings as error:
        event("ERROR", "claim ignored", error=error.message)
        return None


def _transaction(batch: list[_Operation]) -> rows.Transaction:
    return rows.Transaction(
        conditions=[rows.Condition(o.claim.key, o.expected_version) for o in batch],
        writes=[rows.Write(o.claim.key, rows.encode_value(o.claim.row)) for o in batch],
    )
