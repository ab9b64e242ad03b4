"""The site of a soak test: the stand-in platform, with a proxy in front of each address that is dialed."""

import itertools
import threading
import time
from collections import deque
from collections.abc import Sequence
from pathlib import Path

from soak.proxy import Proxies
from standins.users import KEY, Daemon, Partition, Replica, UsersSite, false_if_unreachable
from standins.users.retry_use import RetryBound
from standins.world import STOP_TIMEOUT

MIN_SERVERS = 3
"""Servers of each service and data hall that must remain when one is withdrawn."""
KEYS_KEPT = 3
OLD_KEYS_KEPT = 2
MEMORY_MB = 100
"""Memory of the host of each daemon."""
CROWD_BODY_BYTES = 512 * 1024
CROWD_LIMITS = {"maxBodyBytes": CROWD_BODY_BYTES, "maxHeaderBytes": 16 * 1024, "headerTimeoutMs": 5000}
"""Limits on clients under which a crowd can hold more than that memory."""
RETRY_BOUND = RetryBound(fraction=0.1, floor=10.0, window=10.0)
"""The bound on the retries of all daemons to a service."""


class SoakDaemon:
    """A daemon that can be started again after each exit, and its proxies."""

    def __init__(self, site: "SoakSite", number: int) -> None:
        self.site = site
        self.name = f"d{number}"
        self.hall = f"hall-{number % 2}"
        self.store = site.front(site.store.server.address)
        self.starts = 0
        self.lock = threading.Lock()
        self.partition = Partition.NONE
        self.spared: Sequence[str] = ()
        self.process = self._start_process()
        self.callers = site.front(self.process.callers)

    def __repr__(self) -> str:
        return f"<SoakDaemon {self.incarnation}>"

    @property
    def incarnation(self) -> str:
        """Return the daemon's name and the number of its start."""
        return f"{self.name}.{self.starts}"

    def reserve(self) -> bool:
        """Reserve the process for one fault; return false if another fault holds it."""
        return self.lock.acquire(blocking=False)

    def end_reservation(self) -> None:
        """End the reservation."""
        self.lock.release()

    def start(self) -> None:
        """Start the daemon again, and end the reservation."""
        self.process = self._start_process()
        self.end_reservation()

    def cut(self, partition: Partition, spared: Sequence[str] = ()) -> None:
        """Cut or restore its links to the backend servers, but for some addresses, over restarts too."""
        self.partition, self.spared = partition, spared
        self.process.partition(partition, spared)

    def cut_store(self, cut: bool) -> None:
        """Hold back what it sends to the store and gets from there, or stop doing so."""
        link = self.site.proxies.by_address[self.store]
        link.mute_up = link.mute_down = cut

    def exits_within(self, seconds: float) -> bool:
        """Return whether the process exits in time, or logs in time that it stopped and exits later.

        On an overloaded machine the system may keep a process for seconds after its exit call.
        """
        if self._poll_exit(seconds):
            return True
        return bool(self.process.lines("stopped")) and self._poll_exit(STOP_TIMEOUT)

    def _poll_exit(self, seconds: float) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.popen.poll() is not None:
                return True
            time.sleep(0.02)
        return False

    def _start_process(self) -> Daemon:
        self.starts += 1
        before: Daemon | None = getattr(self, "process", None)
        kept = (
            {}
            if before is None
            else {n: before.settings[n] for n in ("callers", "ready", "metrics", "peer_ports")}
        )
        settings = {
            "memory_mb": MEMORY_MB,
            "store": self.store,
            "first_start": before is None,
            "retry_fraction": RETRY_BOUND.fraction,
            "retry_floor": RETRY_BOUND.floor,
            "retry_window_seconds": RETRY_BOUND.window,
            **kept,
        }
        daemon = Daemon(self.site, self.name, self.hall, settings, f"{self.name}.{self.starts}")
        self.site.daemons.append(daemon)
        if self.partition is not Partition.NONE:
            daemon.partition(self.partition, self.spared)
        return daemon


class SoakSite(UsersSite):
    """Servers in two data halls, behind proxies, and daemons that can be restarted.

    :param daemons: number of daemons.
    :param proxied: whether there are proxies. Without them addresses of crashed servers refuse connections,
        and requests arrive sooner while the process of the stand-in is busy.
    :param partitionable: whether the links of single daemons to the servers can be cut.
    """

    def __init__(self, daemons: int, proxied: bool = True, partitionable: bool = False) -> None:
        self.proxies = Proxies()
        self.numbers = itertools.count(100)
        self.keys = [KEY]
        self.old_keys: deque[str] = deque(maxlen=OLD_KEYS_KEPT)
        """Recently revoked keys; callers go on using them now and then."""

        self.foreign_keys: set[str] = set()
        """Keys of entries that other writers left in the store."""

        front = self.proxies.front if proxied else str
        super().__init__(halls=2, stages=6, plain=5, front=front, partitionable=partitionable)
        self.fleet = [SoakDaemon(self, number) for number in range(daemons)]

    def admit_crowds(self) -> None:
        """Write limits under which crowds of clients can fill the memory of a host."""
        self.client_limits = dict(CROWD_LIMITS)
        self.configure(tuple(self.keys))

    def memory_violations(self) -> list[str]:
        """Describe each daemon that took more memory at any time than its host has."""
        found = []
        for daemon in self.fleet:
            status = Path(f"/proc/{daemon.process.popen.pid}/status")
            peak = status.read_text(encoding="utf-8").partition("VmHWM:")[2].split()[:1]
            if peak and int(peak[0]) > 1024 * MEMORY_MB:
                found.append(f"memory: {daemon.incarnation} took {int(peak[0]) // 1024} MB of {MEMORY_MB}")
        return found

    def choose_daemon(self) -> tuple[str, str] | None:
        """Return the next ready daemon, as a load balancer does; any daemon if none is ready."""
        self.turn = getattr(self, "turn", 0) + 1
        order = [self.fleet[(self.turn + n) % len(self.fleet)] for n in range(len(self.fleet))]
        chosen = next((d for d in order if false_if_unreachable(d.process.is_ready)), order[0])
        return chosen.incarnation, chosen.callers

    def withdraw(self, server: Replica, least: int = MIN_SERVERS) -> bool:
        """Exclude a server from further faults; return false if too few servers would remain.

        :param server: the server.
        :param least: servers of its service and data hall that must remain.
        """
        service = [r for r in self.replicas if bool(r.kind) == bool(server.kind) and r.hall == server.hall]
        if server not in self.replicas or len(service) <= least:
            return False
        self.replicas.remove(server)
        self.leaving.append(server)
        return True

    def add_successor(self, before: Replica) -> None:
        """Add a new, empty server in place of one that leaves."""
        self.add(Replica(self, f"new-{next(self.numbers)}", before.hall, before.kind))

    def add_key(self) -> str:
        """Add a new key, and return it."""
        key = f"key-{next(self.numbers)}"
        self.keys.append(key)
        self.configure(tuple(self.keys))
        return key

    def remove_all_keys(self) -> list[str]:
        """Revoke all keys, and return them."""
        removed, self.keys = self.keys, []
        self.old_keys.extend(removed)
        self.configure(())
        return removed

    def remove_key(self) -> str | None:
        """Revoke the oldest key and return it, unless too few would remain."""
        if len(self.keys) <= KEYS_KEPT:
            return None
        key = self.keys.pop(0)
        self.old_keys.append(key)
        self.configure(tuple(self.keys))
        return key

    def heal(self) -> None:
        """End all faults."""
        for daemon in self.fleet:
            daemon.cut(Partition.NONE)
        for link in self.proxies.links.values():
            link.heal()
        self.store.faults.clear()
        for replica in self.every_replica:
            replica.invalid_status = replica.reports_without_end = ""
            replica.faults.left.update({name: 0 for name in replica.faults.left if name != "stall"})

    def stop(self) -> None:
        """Stop the daemons, the servers and the proxies."""
        super().stop()
        self.proxies.stop()
