"""Refusals: a bounded record of the requests that this daemon refused, and what it told their callers.

Served as JSON on the metrics address, and shown by ``bayglade why``.
"""

import time
from collections import OrderedDict

import msgspec

from bayglade.ids import MemberId, RequestId, ServiceName

MAX_REFUSALS = 1000
"""Bound on the remembered refusals, about 300 kB. A daemon of a large site refuses a few requests a second
at worst, so they are remembered for minutes."""
MAX_ID_CHARS = 200
"""Length to which ids and reasons are cut, because callers choose the ids."""

UNKNOWN_MEMBER = MemberId("")


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request was refused, and what its caller was told."""

    request: RequestId
    member: MemberId
    at: float
    """Unix time in seconds."""

    code: str = ""
    """The error code of the answer."""

    reason: str = ""
    service: ServiceName = ServiceName("")
    """Empty if the request was refused before its service was known."""

    urgency: int | None = None
    expected_wait: float | None = None
    """Seconds until the daemon expected a free slot; None if that did not matter or was not known."""

    waited: float | None = None
    """Seconds for which the request had waited."""

    retry_after: float | None = None
    """Seconds after which the caller was told to retry."""


class Refusals:
    """The last refusals of one daemon.

    :param member: the daemon.
    """

    def __init__(self, member: MemberId = UNKNOWN_MEMBER) -> None:
        self.member = member
        self.records: OrderedDict[RequestId, Refusal] = OrderedDict()

    def __repr__(self) -> str:
        return f"<Refusals {len(self.records)}>"

    def note(
        self,
        request: RequestId,
        *,
        code: str | None = None,
        reason: str | None = None,
        service: ServiceName | None = None,
        urgency: int | None = None,
        expected_wait: float | None = None,
        waited: float | None = None,
        retry_after: float | None = None,
    ) -> None:
        """Record a refusal, or complete the record of one.

        The place that decides knows the expected wait, the one that answers what the caller was told.

        :param request: the request; one without an id is not recorded.
        :param code: the error code of the answer.
        :param reason: why the request was refused; the first one stays.
        :param service: the service.
        :param urgency: the urgency of the request.
        :param expected_wait: seconds until a free slot was expected.
        :param waited: seconds for which the request had waited.
        :param retry_after: seconds after which the caller was told to retry.
        """
        if not request:
            return
        key = RequestId(request[:MAX_ID_CHARS])
        known = self.records.pop(key, None) or Refusal(request=key, member=self.member, at=time.time())
        given = {
            "code": code,
            "reason": known.reason or (reason[:MAX_ID_CHARS] if reason is not None else None),
            "service": service,
            "urgency": urgency,
            "expected_wait": _rounded(expected_wait),
            "waited": _rounded(waited),
            "retry_after": _rounded(retry_after),
        }
        changes = {name: value for name, value in given.items() if value is not None}
        self.records[key] = msgspec.structs.replace(known, **changes)
        while len(self.records) > MAX_REFUSALS:
            self.records.popitem(last=False)

    def find(self, request: str) -> Refusal | None:
        """Return the record of a request, or None if this daemon remembers no refusal of it."""
        return self.records.get(RequestId(request[:MAX_ID_CHARS]))


def describe_refusal(refusal: Refusal) -> list[str]:
    """Return lines that explain a refusal to an operator."""
    moment = time.strftime("%H:%M:%S", time.gmtime(refusal.at))
    known = [("service", refusal.service or None), ("urgency", refusal.urgency), ("code", refusal.code)]
    about = "".join(f", {name} {value}" for name, value in known if value not in (None, ""))
    lines = [f"{refusal.request} refused by {refusal.member} at {moment} UTC{about}"]
    lines.append(f"  reason: {refusal.reason or 'not recorded'}")
    expected = "not known" if refusal.expected_wait is None else f"{refusal.expected_wait:g} s"
    waited = "" if refusal.waited is None else f", after waiting {refusal.waited:g} s"
    lines.append(f"  expected wait: {expected}{waited}")
    told = "nothing" if refusal.retry_after is None else f"to retry after {refusal.retry_after:g} s"
    return [*lines, f"  the caller was told {told}"]


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
