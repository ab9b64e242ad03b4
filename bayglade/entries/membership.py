"""Membership: which daemons are alive, and the messages they exchange.

Every daemon sends heartbeats to its neighbours: all others in a small site, those at distances
1, 2, 4 ... on the ring of names in a large one. The host list says which daemons should exist;
heartbeats show which are alive.
"""

import random
import socket
import traceback
from collections.abc import Callable, Set
from typing import Protocol

import eventlet
import msgspec
from eventlet.event import Event

from bayglade import patches, settings
from bayglade.clock import now
from bayglade.config import Address, parse_address
from bayglade.entries import streams, wire
from bayglade.entries.ring import HEARTBEAT_INTERVAL, neighbours, rows_per_heartbeat
from bayglade.exceptions import BaygladeError, PeerError
from bayglade.ids import BackendId, Digest, MemberId, Revision, ServiceName
from bayglade.logs import event, rate_limited
from bayglade.metrics import Metrics
from bayglade.revisions import Current
from bayglade.usage import GroupUsage, Usage

DEFAULT_MAX_HANDSHAKES = 256
LIVE_TIMEOUT = 3.5
ONE_WAY_SILENCE_SECONDS = 3.0
"""A stream is dialled again once the other side reports having heard nothing for this many seconds."""
MIN_REDIAL_DELAY = 0.1
MAX_REDIAL_DELAY = 2.0
ACCEPT_RETRY_SECONDS = 0.05
"""Pause after an accept that failed for want of file descriptors."""
FAILURE_LOGS_PER_SECOND = 0.2
MAX_OUTBOX = 32
"""Limit on messages queued for an unreachable daemon; a sender that needs an answer asks again."""


class SettingsHolder(Protocol):
    """Holds the settings in force and accepts newer ones."""

    current: Current

    def offer(self, revision: Revision, digest: Digest, document: bytes) -> object:
        """Apply settings received from another daemon if they are newer and complete."""


class Member:
    """Another daemon in the view of this one; times are monotonic seconds."""

    __slots__ = (
        "added_at",
        "address",
        "draining",
        "heard_at",
        "heartbeat_due",
        "id",
        "newer_settings_since",
        "outbox",
        "revision",
        "stream",
        "stream_since",
        "task",
        "wake",
    )

    def __init__(self, member: MemberId, address: Address) -> None:
        self.id = member
        self.address = address
        self.added_at = now()
        self.heard_at = 0.0
        self.revision = Revision(0)
        self.newer_settings_since: float | None = None
        """When it was first known to have newer settings than this daemon; None if it has none."""

        self.draining = False
        self.outbox: list[wire.Message] = []
        self.heartbeat_due = True
        self.wake = Event()
        self.stream: streams.OutStream | None = None
        """The stream on which this daemon sends to it, if there is one."""

        self.stream_since = 0.0
        self.task: eventlet.greenthread.GreenThread | None = None

    def __repr__(self) -> str:
        return f"<Member {self.id} revision={self.revision} draining={self.draining}>"

    def is_live(self, at: float) -> bool:
        """Return whether it was heard recently."""
        return at - self.heard_at < LIVE_TIMEOUT

    def wait(self, seconds: float) -> None:
        """Wait before dialling again, or until there is something to send."""
        self.wake = Event()
        with eventlet.Timeout(seconds, False):
            self.wake.wait()

    def queue(self, message: wire.Message | None = None) -> None:
        """Queue a message, or a heartbeat if none is given, and wake the sending task."""
        if message is None:
            self.heartbeat_due = True
        elif len(self.outbox) < MAX_OUTBOX:
            self.outbox.append(message)
        if not self.wake.ready():
            self.wake.send()


class Membership:
    """The other daemons, with one sending task per neighbour."""

    def __init__(
        self,
        me: MemberId,
        secret: bytes,
        revisions: SettingsHolder,
        usage: Usage,
        metrics: Metrics,
        leaving: Callable[[], list[BackendId]],
        held: Callable[[], list[wire.HeldVersion]],
        on_heartbeat: Callable[[MemberId, wire.Heartbeat], None],
        rng: random.Random,
    ) -> None:
        self.me = me
        self.secret = secret
        self.revisions = revisions
        self.usage = usage
        self.metrics = metrics
        self.log_failure = rate_limited(FAILURE_LOGS_PER_SECOND)
        self.leaving = leaving
        self.held = held
        self.on_heartbeat = on_heartbeat
        self.rng = rng
        self.listed: set[MemberId] = {me}
        self.members: dict[MemberId, Member] = {}
        self.draining = False
        self.sums_for: Callable[[MemberId], wire.LoadSums] = lambda member: wire.LoadSums()
        """Returns the sums of requests in progress to send to another daemon."""

        self.reports_for: Callable[[MemberId], wire.ReportSums] = lambda member: wire.ReportSums()
        """Returns the demand to report to another daemon."""

        self.coverage_for: Callable[[MemberId], list[wire.Coverage]] = lambda member: []
        """Returns the expected times of coverage to send to another daemon."""

        self.isolated: Callable[[], list[ServiceName]] = list
        """Returns the services of which this daemon reaches no server."""

        self.before_heartbeats: Callable[[], None] = lambda: None
        """Called before each round of heartbeats."""

        self.last_heard: dict[MemberId, float] = {}
        """When each daemon was last heard, through any message."""

        self.on_poll: Callable[[MemberId, wire.Poll], None] = lambda member, poll: None
        self.on_updates: Callable[[MemberId, wire.Updates], None] = lambda member, updates: None
        self.on_store_unreachable: Callable[[MemberId, wire.StoreUnreachable], None] = (
            lambda member, message: None
        )
        self.on_findings: Callable[[MemberId, wire.Findings], None] = lambda member, message: None
        self.first_messages: Callable[[], list[wire.Findings]] = list
        """Returns the messages to send first on each new stream to another daemon."""

        self.on_borrow_request: Callable[[MemberId, wire.BorrowRequest], None] = lambda member, message: (
            None
        )
        self.on_borrow_reply: Callable[[MemberId, wire.BorrowReply], None] = lambda member, message: None
        self.on_borrow_return: Callable[[MemberId, wire.BorrowReturn], None] = lambda member, message: None
        self.on_credit_deposit: Callable[[MemberId, wire.CreditDeposit], None] = lambda member, message: (
            None
        )
        self.on_quota_request: Callable[[MemberId, wire.QuotaRequest], None] = lambda member, message: None
        self.on_quota_reply: Callable[[MemberId, wire.QuotaReply], None] = lambda member, message: None
        self.on_quota_return: Callable[[MemberId, wire.QuotaReturn], None] = lambda member, message: None
        self.caught_up: Callable[[], bool] = lambda: True
        """Returns whether others were asked for newer settings."""

        self.fetch_after = 0.0
        """Seconds for which another daemon must be known to have newer settings before they are fetched
        from it. Above zero where they also arrive another way."""

        self.last_patch: wire.Patch | None = None
        self.heartbeat_at = 0.0
        self.usage_rows: list[GroupUsage] = []
        self.bytes_out = 0
        self.bytes_in = 0
        self.handshakes = 0
        """Connections whose other side has not shown yet that it is a daemon."""

        self.max_handshakes = DEFAULT_MAX_HANDSHAKES

    def __repr__(self) -> str:
        return f"<Membership {len(self.live())} of {len(self.listed)} live>"

    def live(self) -> list[Member]:
        """List the other daemons heard recently."""
        at = now()
        return [member for member in self.members.values() if member.is_live(at)]

    def count(self) -> int:
        """Return the number of daemons, as far as can be told from here."""
        everybody_near = len(self.members) >= len(self.listed) - 1
        return len(self.live()) + 1 if everybody_near else len(self.listed)

    def silent_members(self, seconds: float) -> list[MemberId]:
        """List the daemons that this one has a stream to and has not heard for some time.

        :param seconds: the time; a daemon that was added more recently does not count.
        """
        oldest = now() - seconds
        return [
            member.id
            for member in self.members.values()
            if max(member.added_at, self.last_heard.get(member.id, 0.0)) < oldest
        ]

    def stopping_members(self) -> set[MemberId]:
        """Return the daemons that are stopping as planned, including this one if it is."""
        others = {member.id for member in self.members.values() if member.draining}
        return others | {self.me} if self.draining else others

    def heard_at(self) -> float:
        """Return when any other daemon was last heard; zero if none ever was."""
        return max((member.heard_at for member in self.members.values()), default=0.0)

    def update_members(self, listed: dict[MemberId, str], streams_to: Set[MemberId] | None = None) -> None:
        """Apply the host list: dial new neighbours and drop those that are gone.

        :param listed: peer addresses of all entry daemons, including this one.
        :param streams_to: the daemons to keep a stream to; the ring neighbours if left out.
        """
        self.listed = set(listed) | {self.me}
        wanted = neighbours(self.me, sorted(self.listed)) if streams_to is None else streams_to
        for member_id in wanted:
            known = self.members.get(member_id)
            address = parse_address(listed[member_id])
            if known is None or known.address != address:
                self._drop(member_id)
                self._add(Member(member_id, address))
        for member_id in set(self.members) - wanted:
            self._drop(member_id)

    def announce_revision(self, before: Current, after: Current) -> None:
        """Announce a new revision to the neighbours at once.

        :param before: the settings before.
        :param after: the settings now in force.
        """
        self.last_patch = _make_patch(before, after)
        self.send_heartbeats()

    def send(self, member_id: MemberId, message: wire.Message) -> None:
        """Send a message to a daemon that this one has a stream to.

        :param member_id: the daemon; ignored if unknown.
        :param message: the message.
        """
        member = self.members.get(member_id)
        if member is not None:
            member.queue(message)

    def broadcast(self, message: wire.Message, but: MemberId | None = None) -> None:
        """Send a message to every daemon that this one has a stream to.

        :param message: the message.
        :param but: a daemon to leave out, because the message came from it.
        """
        for member_id, member in self.members.items():
            if member_id != but:
                member.queue(message)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every neighbour at once."""
        for member in self.members.values():
            member.queue()

    def serve(self, sock: socket.socket) -> None:
        """Accept streams from other daemons until the socket is closed.

        :param sock: the listening socket.
        """
        while True:
            try:
                connection, _ = sock.accept()
            except OSError as error:
                if sock.fileno() < 0:
                    return
                # Out of file descriptors, most likely; connections in use will free theirs.
                self.log_failure("ERROR", "cannot accept a stream", error=repr(error))
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if self.handshakes >= self.max_handshakes:
                self.metrics.count("entries.streams_not_accepted")
                connection.close()
                # Closing at once must not keep other tasks waiting.
                eventlet.sleep(0)
                continue
            self.handshakes += 1
            eventlet.spawn_n(self._receive, connection)

    def run_due(self) -> None:
        """Send heartbeats when due and drop the usage of silent daemons; called often.

        All neighbours are sent to in one round, so that the process wakes up once and not once per
        neighbour.
        """
        at = now()
        if at - self.heartbeat_at >= HEARTBEAT_INTERVAL:
            self.heartbeat_at = at
            self.before_heartbeats()
            self.usage_rows = self.usage.report(rows_per_heartbeat(len(self.members)))
            self.send_heartbeats()
        for member in self.members.values():
            if not member.is_live(at):
                self.usage.drop(member.id)
        self.metrics.gauge("members.live", len(self.live()) + 1)

    def _add(self, member: Member) -> None:
        self.members[member.id] = member
        member.task = eventlet.spawn(self._send, member)

    def _drop(self, member_id: MemberId) -> None:
        member = self.members.pop(member_id, None)
        if member is not None and member.task is not None:
            member.task.kill()
        self.usage.drop(member_id)

    def _send(self, member: Member) -> None:
        """Keep a stream to one neighbour open and send on it."""
        delay = MIN_REDIAL_DELAY
        while True:
            try:
                stream = streams.dial(member.address, self.me, self.secret)
            except Exception as error:  # noqa: BLE001 - no error may end the stream for good
                if not isinstance(error, (OSError, PeerError)):
                    self._note_unexpected("dial", member.id, error)
                member.wait(delay * self.rng.uniform(0.5, 1.0))
                delay = min(MAX_REDIAL_DELAY, delay * 2)
                continue
            delay = MIN_REDIAL_DELAY
            member.heartbeat_due = True
            member.outbox = [*self.first_messages(), *member.outbox]
            member.stream, member.stream_since = stream, now()
            try:
                self._send_on(member, stream)
            except OSError as error:
                event("INFO", "stream to daemon broke", peer=member.id, error=repr(error))
            except Exception as error:  # noqa: BLE001 - no error may end the stream for good
                self._note_unexpected("send", member.id, error)
                # The same message may fail again.
                eventlet.sleep(delay)
            finally:
                member.stream = None
                stream.close()

    def _send_on(self, member: Member, stream: streams.OutStream) -> None:
        while True:
            member.wake = Event()
            messages, member.outbox = member.outbox, []
            if member.heartbeat_due:
                member.heartbeat_due = False
                messages = [*messages, self._heartbeat(member.id)]
            before = stream.sent_bytes
            for message in messages:
                stream.send(message)
            self.bytes_out += stream.sent_bytes - before
            member.wake.wait()

    def _heartbeat(self, member_id: MemberId) -> wire.Heartbeat:
        sums, reports = self.sums_for(member_id), self.reports_for(member_id)
        return wire.Heartbeat(
            revision=self.revisions.current.revision,
            draining=self.draining,
            usage=self.usage_rows,
            leaving=self.leaving(),
            held=self.held(),
            loads=sums.own,
            hall_loads=sums.hall,
            all_loads=sums.everywhere,
            heard_age=round(now() - self.last_heard[member_id], 2) if member_id in self.last_heard else 0.0,
            caught_up=self.caught_up(),
            reports=reports.own,
            hall_reports=reports.hall,
            all_reports=reports.everywhere,
            coverage=self.coverage_for(member_id),
            isolated=self.isolated(),
        )

    def _receive(self, connection: socket.socket) -> None:
        """Read one stream from another daemon until it ends."""
        peer = ""
        try:
            stream = self._accept(connection)
            peer = stream.member
            for message in stream.messages(LIVE_TIMEOUT * 2):
                self.bytes_in += stream.take_received_bytes()
                self._handle(stream.member, message)
        except (OSError, BaygladeError) as error:
            self.metrics.count("entries.streams_broken")
            event("INFO", "stream from daemon broke", peer=peer, error=repr(error))
        except Exception as error:  # noqa: BLE001 - no error may end the stream for good
            self.metrics.count("entries.streams_broken")
            self._note_unexpected("receive", peer, error)
        finally:
            connection.close()

    def _note_unexpected(self, step: str, peer: str, error: Exception) -> None:
        """Log an error that is no failure of a stream; the stream is opened again."""
        self.log_failure(
            "ERROR", "stream failed", step=step, peer=peer, error=repr(error), trace=traceback.format_exc()
        )

    def _accept(self, connection: socket.socket) -> streams.InStream:
        try:
            return streams.accept(connection, self.secret)
        finally:
            self.handshakes -= 1

    def _handle(self, sender: MemberId, message: wire.Message) -> None:
        self.last_heard[sender] = now()
        member = self.members.get(sender)
        if member is not None and member.stream is None:
            # It is alive again. If it has just started, it waits for messages from others: dial it at once.
            member.queue()
        if isinstance(message, wire.Heartbeat):
            if member is not None:
                self._handle_heartbeat(member, message)
        elif isinstance(message, wire.Fetch):
            if member is not None:
                member.queue(self._settings_for(message.have))
        elif isinstance(message, wire.Poll):
            self.on_poll(sender, message)
        elif isinstance(message, wire.Updates):
            self.on_updates(sender, message)
        elif isinstance(message, wire.StoreUnreachable):
            self.on_store_unreachable(sender, message)
        elif isinstance(message, wire.Findings):
            self.on_findings(sender, message)
        elif isinstance(message, wire.BorrowRequest):
            self.on_borrow_request(sender, message)
        elif isinstance(message, wire.BorrowReply):
            self.on_borrow_reply(sender, message)
        elif isinstance(message, wire.BorrowReturn):
            self.on_borrow_return(sender, message)
        elif isinstance(message, wire.CreditDeposit):
            self.on_credit_deposit(sender, message)
        elif isinstance(message, wire.QuotaRequest):
            self.on_quota_request(sender, message)
        elif isinstance(message, wire.QuotaReply):
            self.on_quota_reply(sender, message)
        elif isinstance(message, wire.QuotaReturn):
            self.on_quota_return(sender, message)
        elif isinstance(message, wire.Document):
            self.revisions.offer(message.revision, message.digest, message.document)
        else:
            self._apply_patch(member, message)

    def _handle_heartbeat(self, member: Member, heartbeat: wire.Heartbeat) -> None:
        member.heard_at = now()
        member.revision = heartbeat.revision
        member.draining = heartbeat.draining
        self._check_one_way_silence(member, heartbeat.heard_age)
        self.usage.merge_report(member.id, heartbeat.usage)
        self.on_heartbeat(member.id, heartbeat)
        if heartbeat.revision <= self.revisions.current.revision:
            member.newer_settings_since = None
            return
        member.newer_settings_since = member.newer_settings_since or now()
        if now() - member.newer_settings_since >= self.fetch_after:
            member.queue(wire.Fetch(self.me, self.revisions.current.revision))

    def _check_one_way_silence(self, member: Member, age: float) -> None:
        """Abandon a stream on which the other side receives nothing while the connection shows no error.

        :param age: seconds since the other side heard this daemon.
        """
        if age < ONE_WAY_SILENCE_SECONDS or member.stream is None:
            return
        if now() - member.stream_since >= ONE_WAY_SILENCE_SECONDS:
            event("INFO", "stream to daemon silent", peer=member.id, age=age)
            member.stream.peer_receives_nothing = True
            member.queue()

    def _settings_for(self, have: Revision) -> wire.Message:
        current = self.revisions.current
        if self.last_patch is not None and have == current.revision - 1:
            return self.last_patch
        return wire.Document(current.revision, current.digest, current.document)

    def _apply_patch(self, member: Member | None, message: wire.Patch) -> None:
        current = self.revisions.current
        if message.revision != current.revision + 1:
            return
        before = msgspec.json.decode(current.document)
        document = patches.apply(before, msgspec.json.decode(message.patch))
        content = msgspec.json.encode(document, order="sorted")
        if settings.digest_of(content) == message.digest:
            self.revisions.offer(message.revision, message.digest, content)
        elif member is not None:
            member.queue(wire.Fetch(self.me, Revision(0)))


def _make_patch(before: Current, after: Current) -> wire.Patch | None:
    if after.revision != before.revision + 1:
        return None
    patch = patches.diff(msgspec.json.decode(before.document), msgspec.json.decode(after.document))
    return wire.Patch(after.revision, after.digest, msgspec.json.encode(patch))
