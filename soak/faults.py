"""Faults: what a seed does to whom, one function for each kind; they come in series and overlap."""

import random
import signal
import threading
import time
from collections.abc import Callable, Sequence

from soak.records import Fault, Journal
from soak.site import SoakSite
from standins.users import MODEL, PLAIN, Replica

Act = Callable[["Faults"], None]

PAUSES = (0.2, 1.2)
"""Seconds between the starts of two faults."""
LASTS = (0.3, 4.0)
LINK_LASTS = (0.3, 9.0)
"""Long enough that what a daemon knows of keys may grow too old."""
STREAM_FAULTS = ("refuse", "elsewhere", "partial", "reset")
WHOLE_FAULTS = (
    "refuse",
    "elsewhere",
    "error",
    "cut",
    "reset",
    "unframed",
    "unframed_reset",
    "stray",
    "extra",
    "garbage",
    "unsealed",
    "mute",
)
STORE_FAULTS = ("busy", "silent", "lost", "forgotten")
LINK_FAULTS = ("delay", "reset", "silence", "upwards", "downwards")
LAPSE_SECONDS = 3.6
"""After this time the row of a server that crashed is removed."""
LEAVE_SECONDS = 3.0
"""How long a server that leaves serves on."""
RESTS = ("0.8", "1.5", "3")
"""Seconds of rest that servers ask for."""
LIMITS = ("0.5", "1", "2.5", "6")
"""Requests a second that servers say they take."""
LIMIT_LASTS = (2.0, 9.0)
ALL_LIMITED = 0.25
"""Likelihood that all servers of a service name a limit."""
COPY_SECONDS = (0.3, 3.0)
"""Age of the copies that the store comes back from."""
AWAY_SECONDS = (0.02, 1.5)
AGAIN_SECONDS = (0.1, 1.5)
"""Time after which operators and servers write again what a restored store has lost."""
GRACE_SECONDS = 8.0
REVOKE_AFTER = 1.0


class Faults:
    """The faults of one seed, each in a thread of its own.

    :param site: what they act on.
    :param journal: where they are written down.
    :param seed: of all choices.
    :param acts: what may be done.
    """

    def __init__(
        self, site: SoakSite, journal: Journal, seed: int, acts: Sequence[Act] | None = None
    ) -> None:
        self.site = site
        self.journal = journal
        self.acts = ACTS if acts is None else acts
        self.rng = random.Random(seed)
        self.threads: list[threading.Thread] = []
        self.lock = threading.Lock()

    def __repr__(self) -> str:
        return f"<Faults {len(self.journal.faults)} so far>"

    def run(self, seconds: float) -> None:
        """Cause faults for a time, then wait until all have ended and heal what is left.

        :param seconds: how long new ones begin.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self.rng.uniform(*PAUSES))
            act = self.rng.choice(self.acts)
            act(self)
        for thread in self.threads:
            thread.join(GRACE_SECONDS + 2 * LEAVE_SECONDS)
        self.site.heal()

    def begin(
        self, name: str, target: str, lasts: float, work: Callable[[], None], planned: bool = False
    ) -> None:
        """Write a fault down and carry it out beside the others.

        :param name: what it is.
        :param target: whom it hits.
        :param lasts: seconds for which it may be felt.
        :param work: carries it out and undoes it.
        :param planned: whether it must harm nobody.
        """
        at = time.monotonic()
        self.journal.faults.append(Fault(name, target, at, at + lasts, planned))
        thread = threading.Thread(target=work, daemon=True)
        self.threads.append(thread)
        thread.start()

    def lasts(self) -> float:
        """Choose how long something lasts."""
        return self.rng.uniform(*LASTS)


def kill(faults: Faults) -> None:
    """Kill a daemon; it starts again later."""
    daemon, down = faults.rng.choice(faults.site.fleet), faults.lasts()
    if not daemon.claim():
        return

    def work() -> None:
        daemon.process.stop()
        time.sleep(down)
        daemon.start()

    faults.begin("kill", daemon.name, down + 1.0, work)


def stop(faults: Faults) -> None:
    """Stop a daemon in order; it starts again when it has ended."""
    daemon, twice = faults.rng.choice(faults.site.fleet), faults.rng.random() < 0.2
    if not daemon.claim():
        return
    faults.journal.stopped[daemon.incarnation] = time.monotonic()

    def work() -> None:
        daemon.process.signal(signal.SIGTERM)
        if twice:
            time.sleep(0.3)
            daemon.process.signal(signal.SIGTERM)
        if not daemon.stops_within(GRACE_SECONDS):
            faults.journal.broken.append(f"stop: {daemon.incarnation} did not end in {GRACE_SECONDS} s")
            daemon.process.stop()
        daemon.start()

    faults.begin("stop", daemon.name, GRACE_SECONDS, work, planned=True)


def pause(faults: Faults) -> None:
    """Freeze a daemon for a while."""
    daemon, lasts = faults.rng.choice(faults.site.fleet), faults.rng.uniform(0.3, 7.0)
    if not daemon.claim():
        return

    def work() -> None:
        daemon.process.signal(signal.SIGSTOP)
        time.sleep(lasts)
        daemon.process.signal(signal.SIGCONT)
        daemon.free()

    faults.begin("pause", daemon.name, lasts + 0.5, work)


def reload(faults: Faults) -> None:
    """Write a daemon's settings anew, with or without a signal."""
    daemon, told = faults.rng.choice(faults.site.fleet), faults.rng.random() < 0.5

    def work() -> None:
        daemon.process.write()
        if told and daemon.claim():
            daemon.process.signal(signal.SIGHUP)
            daemon.free()

    faults.begin("reload", daemon.name, 0.5, work, planned=True)


def link(faults: Faults) -> None:
    """Harm a connection between two sides, one way or both."""
    rng = faults.rng
    lasts = rng.uniform(*LINK_LASTS)
    target = rng.choice(list(faults.site.proxies.links.values()))
    how = rng.choice(LINK_FAULTS)
    delay = rng.uniform(0.02, 0.6)

    def work() -> None:
        if how == "reset":
            faults.site.proxies.reset(target)
            return
        target.delay = delay if how == "delay" else 0.0
        target.mute_up = how in ("silence", "upwards")
        target.mute_down = how in ("silence", "downwards")
        time.sleep(lasts)
        target.heal()

    faults.begin(f"link {how}", target.target, lasts, work)


def store(faults: Faults) -> None:
    """Have the store fail."""
    how, lasts = faults.rng.choice(STORE_FAULTS), faults.lasts()

    def work() -> None:
        faults.site.store.faults.set(how)
        time.sleep(lasts)
        faults.site.store.faults.left[how] = 0

    # A call that hangs when the fault ends hangs on for a while.
    faults.begin(f"store {how}", "store", lasts + 5.0, work)


def restore(faults: Faults) -> None:
    """Have the store come back from an older copy; operators and servers write again later."""
    copied, away = faults.rng.uniform(*COPY_SECONDS), faults.rng.uniform(*AWAY_SECONDS)
    again = faults.rng.uniform(*AGAIN_SECONDS)

    def work() -> None:
        site = faults.site
        with faults.lock:
            site.restore_store(site.store.version_before(copied), away)
        time.sleep(again)
        with faults.lock:
            site.write_again()

    faults.begin("restore", "store", away + again + 1.0, work)


def answers(faults: Faults) -> None:
    """Have a server spoil some answers."""
    service = faults.site.of(faults.rng.choice((MODEL, PLAIN)))
    server = faults.rng.choice(service)
    how = faults.rng.choice(STREAM_FAULTS if server.kind else WHOLE_FAULTS)
    times = faults.rng.randint(2, 12)

    def work() -> None:
        server.faults.set(how, times)
        time.sleep(2.0)
        server.faults.left[how] = 0

    faults.begin(f"answers {how}", server.id, 3.0, work)


def crash(faults: Faults) -> None:
    """End a server at once; an empty one comes at another address later."""
    server, down = faults.rng.choice(faults.site.replicas), faults.lasts()
    if not faults.site.spare(server):
        return

    def work() -> None:
        server.die()
        time.sleep(down)
        faults.site.join(server)
        time.sleep(max(0.0, LAPSE_SECONDS - down))
        faults.site.store.drop("servers", server.id)

    faults.begin("crash", server.id, LAPSE_SECONDS + 2.0, work)


def leave(faults: Faults) -> None:
    """Have a server leave in order; its successor comes first."""
    server = faults.rng.choice(faults.site.replicas)
    if not faults.site.spare(server):
        return

    def say() -> None:
        server.state = "draining"
        server.register()
        faults.journal.leaving[server.id] = time.monotonic()

    faults.begin("leave", server.id, LEAVE_SECONDS + 2.0, lambda: _leave(faults, server, say), planned=True)


def _leave(faults: Faults, server: Replica, say: Callable[[], None]) -> None:
    """Have a server's successor come, then the server say that it leaves, and end."""
    faults.site.join(server)
    time.sleep(1.0)
    say()
    time.sleep(LEAVE_SECONDS)
    server.server.end()
    faults.site.store.drop("servers", server.id)


def change(faults: Faults) -> None:
    """Bring a new key; after a while the oldest is taken away."""

    def work() -> None:
        with faults.lock:
            added = faults.site.add_key()
            faults.journal.key_versions[added] = faults.site.version
        time.sleep(REVOKE_AFTER)
        with faults.lock:
            removed = faults.site.remove_key()
            if removed is not None:
                faults.journal.revoked[removed] = time.monotonic()

    faults.begin("change", "settings", REVOKE_AFTER + 1.0, work, planned=True)


def rest(faults: Faults) -> None:
    """Have a server turn requests away and ask for rest each time."""
    server = faults.rng.choice(faults.site.replicas)
    asked, lasts = faults.rng.choice(RESTS), faults.lasts()

    def work() -> None:
        server.rest = asked
        server.faults.set("refuse")
        time.sleep(lasts)
        server.faults.left["refuse"] = 0
        server.rest = ""

    faults.begin("rest", server.id, lasts + float(asked), work)


def limit(faults: Faults) -> None:
    """Have a server name a rate limit, or all of its service."""
    rng = faults.rng
    chosen = rng.choice(faults.site.replicas)
    servers = faults.site.of(MODEL if chosen.kind else PLAIN) if rng.random() < ALL_LIMITED else [chosen]
    rate, lasts = rng.choice(LIMITS), rng.uniform(*LIMIT_LASTS)

    def work() -> None:
        for server in servers:
            server.rate_limit = rate
        time.sleep(lasts)
        for server in servers:
            server.rate_limit = ""

    faults.begin("limit", chosen.id, lasts + 2.0, work)


def leave_unheard(faults: Faults) -> None:
    """Have a server leave that says so in its answers only; its successor comes first."""
    server = faults.rng.choice(faults.site.replicas)
    if not faults.site.spare(server):
        return

    def say() -> None:
        server.says_leaving = True

    faults.begin("leave unheard", server.id, LEAVE_SECONDS + 2.0, lambda: _leave(faults, server, say))


ACTS: tuple[Act, ...] = (
    kill,
    stop,
    pause,
    reload,
    *[link] * 3,
    store,
    *[answers] * 5,
    crash,
    leave,
    change,
)
"""Links and answers break most often."""

RESTING_ACTS: tuple[Act, ...] = (*ACTS, *[rest] * 5, *[leave_unheard] * 2)
"""A tuple of its own, so that earlier seeds go on to do what they did."""

LIMITED_ACTS: tuple[Act, ...] = (*ACTS, *[limit] * 8)

RESTORED_ACTS: tuple[Act, ...] = (*ACTS, *[restore] * 4, *[leave] * 2, *[change] * 3, kill, stop)

UNSTEADY_ACTS: tuple[Act, ...] = (store, store, kill, pause, link)
"""What keeps daemons from word of others; in this order, on which what a seed chooses depends."""
