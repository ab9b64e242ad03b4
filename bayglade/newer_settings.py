"""Newer settings by which another daemon serves: fetched at once, from the daemon that showed them.

A daemon that is cut off from the store learns of newer settings first where another daemon serves a call
for it. That daemon is in reach, so it can provide them. Until they are in force, calls are held for a
moment, then forwarded to daemons that have them.
"""

import random

import eventlet

from bayglade.clock import now
from bayglade.entries.forwards import (
    SETTINGS_OFFER_HEADER,
    SETTINGS_REQUEST_HEADER,
    SETTINGS_TARGET,
    SettingsOffer,
    SettingsRequest,
    decode_sealed,
    encode_sealed,
)
from bayglade.exceptions import BackendError, PeerError
from bayglade.forwarding import CONNECT_SECONDS, KEEP_SECONDS, Forwarding
from bayglade.http1 import Message, encode_head
from bayglade.ids import BackendId, MemberId, Revision
from bayglade.intake import Intake
from bayglade.listener import Connection
from bayglade.logs import event
from bayglade.upstream import DEFAULT_IDLE_SECONDS, MAX_CONTROL_BYTES, Exchange, open_exchange

FETCH_SECONDS = 1.0
"""Time limit for one daemon to provide its settings."""
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 1.0
OTHER_DAEMONS = 2
"""Daemons that are asked if the one that showed the settings does not provide them."""
GIVE_UP_SECONDS = 30.0
"""Time after which a daemon serves by its own settings again if no other provides the newer ones: they may
be invalid here, or the daemons that had them may be gone."""


class NewerSettings:
    """Fetches settings that other daemons have shown to be in force.

    :param intake: the settings in force here.
    :param forwarding: the other daemons.
    :param rng: random number generator.
    """

    def __init__(self, intake: Intake, forwarding: Forwarding, rng: random.Random) -> None:
        self.intake = intake
        self.forwarding = forwarding
        self.rng = rng
        self.shown_by: MemberId | None = None
        self.fetching = False

    def __repr__(self) -> str:
        return f"<NewerSettings required={self.intake.required} fetching={self.fetching}>"

    def note(self, revision: Revision, member: MemberId) -> None:
        """Fetch settings if they are newer than those in force.

        :param revision: the settings.
        :param member: the daemon that serves by them.
        """
        if not self.intake.require(revision):
            return
        if revision >= self.intake.required:
            self.shown_by = member
        if not self.fetching:
            self.fetching = True
            eventlet.spawn_n(self._fetch)

    def _fetch(self) -> None:
        """Fetch settings until the required ones are in force."""
        pause, until = MIN_PAUSE_SECONDS, now() + GIVE_UP_SECONDS
        try:
            while not any(self._fetch_from(member) for member in self._sources()):
                if now() >= until:
                    self.intake.waive()
                    return
                eventlet.sleep(pause)
                pause = min(MAX_PAUSE_SECONDS, 2 * pause)
        finally:
            self.fetching = False

    def _sources(self) -> list[MemberId]:
        """Return the daemons to ask, the one that showed the settings first."""
        known = self.forwarding.addresses().keys()
        others = sorted(known - {self.shown_by})
        asked = self.rng.sample(others, min(OTHER_DAEMONS, len(others)))
        return [self.shown_by, *asked] if self.shown_by in known else asked

    def _fetch_from(self, member: MemberId) -> bool:
        """Ask a daemon for its settings; return whether the required ones are in force."""
        if not self.intake.is_behind():
            return True
        address, secret = self.forwarding.addresses().get(member), self.forwarding.secret()
        if address is None or secret is None:
            return False
        try:
            exchange = open_exchange(
                self.forwarding.pool, BackendId(member), address, DEFAULT_IDLE_SECONDS, CONNECT_SECONDS
            )
            try:
                self._exchange_settings(exchange, secret)
            finally:
                exchange.close(KEEP_SECONDS)
        except (BackendError, PeerError) as error:
            event("INFO", "settings not fetched", peer=member, error=repr(error))
            return False
        event("INFO", "settings fetched", peer=member, in_force=self.intake.version)
        return not self.intake.is_behind()

    def _exchange_settings(self, exchange: Exchange, secret: bytes) -> None:
        until = now() + FETCH_SECONDS
        request = SettingsRequest(self.forwarding.member, Revision(self.intake.version))
        headers = [
            ("Host", exchange.backend),
            (SETTINGS_REQUEST_HEADER, encode_sealed(request, SETTINGS_REQUEST_HEADER, secret)),
        ]
        exchange.send(encode_head(f"GET {SETTINGS_TARGET.decode()} HTTP/1.1", headers), b"", until)
        message = exchange.read_head(until, lambda message: True)
        document = exchange.read_body(until, MAX_CONTROL_BYTES)
        text = message.header(SETTINGS_OFFER_HEADER.lower())
        if message.status != 200 or text is None:
            return
        offer = decode_sealed(text, SettingsOffer, SETTINGS_OFFER_HEADER, secret)
        self.intake.offer(offer.revision, offer.digest, document)


def serve_settings(connection: Connection, message: Message, secret: bytes | None, intake: Intake) -> None:
    """Answer a daemon that asks for the settings in force here.

    :param connection: the connection of the other daemon.
    :param message: its request.
    :param secret: the secret that all daemons share; None if this daemon has not joined.
    :param intake: the settings in force.
    """
    if secret is None:
        connection.send_response(503, [], b"")
        return
    try:
        text = message.header(SETTINGS_REQUEST_HEADER.lower()) or ""
        request = decode_sealed(text, SettingsRequest, SETTINGS_REQUEST_HEADER, secret)
    except PeerError as error:
        event("WARNING", "request for settings refused", error=repr(error))
        connection.send_response(403, [], b"")
        return
    current = intake.current
    if current.revision <= request.have:
        connection.send_response(404, [], b"")
        return
    offer = SettingsOffer(current.revision, current.digest)
    headers = [(SETTINGS_OFFER_HEADER, encode_sealed(offer, SETTINGS_OFFER_HEADER, secret))]
    event("INFO", "settings provided", peer=request.sender, revision=current.revision)
    connection.send_response(200, headers, current.document)
