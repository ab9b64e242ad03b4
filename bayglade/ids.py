"""Identifier types shared across the package."""

from typing import NamedTuple, NewType

RequestId = NewType("RequestId", str)
AttemptNumber = NewType("AttemptNumber", int)
GroupPath = NewType("GroupPath", str)
"""Path of a group in the settings tree: level names from the top, joined by ``/``; empty for the root."""

AccountName = NewType("AccountName", str)
BackendId = NewType("BackendId", str)
Incarnation = NewType("Incarnation", int)
"""Identifies one start of a backend server, which may restart under the same id: the Unix time of the
start in milliseconds."""

ModelName = NewType("ModelName", str)
Version = NewType("Version", str)
HallName = NewType("HallName", str)
ServiceName = NewType("ServiceName", str)
MemberId = NewType("MemberId", str)
"""Name of a daemon, unique among the daemons that share a platform."""

Revision = NewType("Revision", int)
ChangeId = NewType("ChangeId", str)
Digest = NewType("Digest", str)

Fingerprint = NewType("Fingerprint", str)
"""Identifies the content of a request, independent of its id, or a part of prompts; see
:mod:`bayglade.fingerprints`."""

PromptPartId = NewType("PromptPartId", str)
"""Identifies a part of prompts that requests may share, as the caller names it."""

StoreEpoch = NewType("StoreEpoch", int)
"""Increases each time the platform's store is restored from an older copy; row versions are unique
only within an epoch."""

UNKNOWN_EPOCH = StoreEpoch(-1)
"""The epoch of a store, or of an answer, that doesn't state one."""

UNKNOWN_INCARNATION = Incarnation(0)
"""The incarnation of a server that doesn't report when it started."""


class ServerKey(NamedTuple):
    """Identifies one start of a backend server: its id and incarnation."""

    backend: BackendId
    incarnation: Incarnation
