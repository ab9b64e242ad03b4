"""Stand-in for the users' platform: the metadata store, the backend servers and the daemons under test.

The store and the servers run in threads of one process, each daemon in a process
of its own. Tests set faults on the store or on single servers. Servers record
every run of a request, so that tests can count them.
"""

from standins.users.configuration import (
    EVENTS,
    GROUP,
    HOST_NAME,
    KEY,
    LAYERS,
    MODEL,
    PLAIN,
    configuration,
    with_urgencies,
)
from standins.users.daemon import Daemon, exchange, false_if_unreachable
from standins.users.partitions import Partition
from standins.users.replica import Replica
from standins.users.site import UsersSite

__all__ = [
    "EVENTS",
    "GROUP",
    "HOST_NAME",
    "KEY",
    "LAYERS",
    "MODEL",
    "PLAIN",
    "Daemon",
    "Partition",
    "Replica",
    "UsersSite",
    "configuration",
    "exchange",
    "false_if_unreachable",
    "with_urgencies",
]
