"""The site of a soak: the stand-in for the users' platform with proxies before all that is dialed."""

import itertools
import threading
import time
from collections import deque

from soak.proxy import Proxies
from standins.users import KEY, Daemon, Replica, UsersSite, quietly
from standins.world import STOP_TIMEOUT

SPARE_SERVERS = 3
"""Servers of each service that must be left when one is taken."""
KEYS_KEPT = 3
OLD_KEYS = 2


class SoakDaemon:
    """A daemon that comes back after each end, and its proxies."""

    def __init__(self, site: "SoakSite", number: int) -> None:
        self.site = site
        self.name = f"d{number}"
        self.hall = f"hall-{number % 2}"
        self.store = site.proxies.front(site.store.server.address)
        self.starts = 0
        self.lock = threading.Lock()
        self.process = self._new()
        self.callers = site.proxies.front(self.process.callers)

    def __repr__(self) -> str:
        return f"<SoakDaemon {self.incarnation}>"

    @property
    def incarnation(self) -> str:
        """Return its name and the number of its start."""
        return f"{self.name}.{self.starts}"

    def claim(self) -> bool:
        """Take it for a fault of its process; false while it is in another one's hands."""
        return self.lock.acquire(blocking=False)

    def free(self) -> None:
        """Give it back."""
        self.lock.release()

    def start(self) -> None:
        """Start it again, and give it back."""
        self.process = self._new()
        self.free()

    def stops_within(self, seconds: float) -> bool:
        """Wait for its end; one that had nothing left to do in time may be gone a little later.

        A machine that is far too busy keeps a process for seconds after the last thing it did, its exit.
        """
        if self._ends_within(seconds):
            return True
        return bool(self.process.lines("stopped")) and self._ends_within(STOP_TIMEOUT)

    def _ends_within(self, seconds: float) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.popen.poll() is not None:
                return True
            time.sleep(0.02)
        return False

    def _new(self) -> Daemon:
        self.starts += 1
        before: Daemon | None = getattr(self, "process", None)
        kept = (
            {}
            if before is None
            else {n: before.settings[n] for n in ("callers", "ready", "metrics", "peer_ports")}
        )
        daemon = Daemon(
            self.site, self.name, self.hall, {"store": self.store, **kept}, f"{self.name}.{self.starts}"
        )
        self.site.daemons.append(daemon)
        return daemon


class SoakSite(UsersSite):
    """Servers in two halls, behind proxies, and daemons that come back."""

    def __init__(self, daemons: int) -> None:
        self.proxies = Proxies()
        self.numbers = itertools.count(100)
        self.keys = [KEY]
        self.old_keys: deque[str] = deque(maxlen=OLD_KEYS)
        """Keys that were taken away lately; callers go on using them now and then."""

        super().__init__(halls=2, stages=6, plain=5, front=self.proxies.front)
        self.fleet = [SoakDaemon(self, number) for number in range(daemons)]

    def choose(self) -> tuple[str, str] | None:
        """Return a daemon that says it is ready, as a balancer does; any when none is."""
        self.turn = getattr(self, "turn", 0) + 1
        order = [self.fleet[(self.turn + n) % len(self.fleet)] for n in range(len(self.fleet))]
        chosen = next((d for d in order if quietly(d.process.is_ready)), order[0])
        return chosen.incarnation, chosen.callers

    def spare(self, server: Replica) -> bool:
        """Take a server out of those that faults may hit; false when too few would be left."""
        service = [r for r in self.replicas if bool(r.kind) == bool(server.kind) and r.hall == server.hall]
        if server not in self.replicas or len(service) <= SPARE_SERVERS:
            return False
        self.replicas.remove(server)
        self.leaving.append(server)
        return True

    def join(self, before: Replica) -> None:
        """Have a new, empty server come in place of one that goes."""
        self.add(Replica(self, f"new-{next(self.numbers)}", before.hall, before.kind))

    def add_key(self) -> str:
        """Bring a new key, and return it."""
        key = f"key-{next(self.numbers)}"
        self.keys.append(key)
        self.configure(tuple(self.keys))
        return key

    def remove_key(self) -> str | None:
        """Take the oldest key away when there are enough, and return it."""
        if len(self.keys) <= KEYS_KEPT:
            return None
        key = self.keys.pop(0)
        self.old_keys.append(key)
        self.configure(tuple(self.keys))
        return key

    def heal(self) -> None:
        """End all faults."""
        for link in self.proxies.links.values():
            link.heal()
        self.store.faults.clear()
        for replica in self.every_replica:
            replica.faults.left.update({name: 0 for name in replica.faults.left if name != "stall"})

    def stop(self) -> None:
        """End all that was started here."""
        super().stop()
        self.proxies.stop()
