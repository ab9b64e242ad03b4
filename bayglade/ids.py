"""Types of the identifiers used across the package."""

from typing import NamedTuple, NewType

RequestId = NewType("RequestId", str)
AttemptNumber = NewType("AttemptNumber", int)
GroupPath = NewType("GroupPath", str)
"""Names of the levels from the top, joined by ``/``; empty for the root."""

AccountName = NewType("AccountName", str)
BackendId = NewType("BackendId", str)
Incarnation = NewType("Incarnation", int)
"""Which start of a backend server, as servers may start again under their id: the Unix millisecond
of that start."""
ModelName = NewType("ModelName", str)
Version = NewType("Version", str)
HallName = NewType("HallName", str)
ServiceName = NewType("ServiceName", str)
MemberId = NewType("MemberId", str)
"""Name of one entry daemon, unique among the daemons that share a platform."""

Revision = NewType("Revision", int)
ChangeId = NewType("ChangeId", str)
Digest = NewType("Digest", str)

Fingerprint = NewType("Fingerprint", str)
"""Names what a request asks, whatever its id; see :mod:`bayglade.fingerprints`."""

StoreEpoch = NewType("StoreEpoch", int)
"""Grows each time the platform's store is restored from an older copy; versions are unique within one."""

UNKNOWN_EPOCH = StoreEpoch(-1)
"""That of a store, or of an answer, which does not name its epoch."""

UNKNOWN_INCARNATION = Incarnation(0)
"""That of a server which does not say when it started."""


class ServerKey(NamedTuple):
    """Names one start of a backend server."""

    backend: BackendId
    incarnation: Incarnation
