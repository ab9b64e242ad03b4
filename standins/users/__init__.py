"""A stand-in for the users' platform: metadata store, backend servers, and what runs between them.

All of it lives in threads of one process. Faults are set from outside, on the
store or on single servers; every run of a request on a server is recorded, so
that a test can count them.
"""

from standins.users.configuration import EVENTS, GROUP, HOST_NAME, KEY, MODEL, PLAIN, configuration
from standins.users.daemon import Daemon, exchange, quietly
from standins.users.replica import Replica
from standins.users.site import UsersSite

__all__ = [
    "EVENTS",
    "GROUP",
    "HOST_NAME",
    "KEY",
    "MODEL",
    "PLAIN",
    "Daemon",
    "Replica",
    "UsersSite",
    "configuration",
    "exchange",
    "quietly",
]
