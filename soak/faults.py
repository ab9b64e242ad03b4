"""Fault injection: one function for each kind of fault; the seed selects them, and they may overlap."""

import random
import signal
import threading
import time
from collections.abc import Callable, Sequence

from soak.records import PARTITION, Fault, Journal
from soak.site import CROWD_BODY_BYTES, SoakDaemon, SoakSite
from standins.crowds import Crowd
from standins.invalid_entries import draw_unreadable
from standins.users import LAYERS, MODEL, PLAIN, Partition, Replica
from standins.users.replica import ENDLESS

FaultAction = Callable[["FaultInjector"], None]

INTERVAL_SECONDS = (0.2, 1.2)
"""Range of the seconds between the starts of two faults."""
FAULT_SECONDS = (0.3, 4.0)
LINK_FAULT_SECONDS = (0.3, 9.0)
"""Long enough for a daemon's list of keys to become older than it may trust."""
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
ROW_REMOVAL_SECONDS = 3.6
"""Time after which the row of a crashed server is removed."""
LEAVE_SECONDS = 3.0
"""How long a leaving server goes on serving."""
RETRY_AFTER_VALUES = ("0.8", "1.5", "3")
"""Values of ``Retry-After``, in seconds."""
RATE_LIMIT_VALUES = ("0.5", "1", "2.5", "6")
"""Rate limits that servers announce, in requests a second."""
RATE_LIMIT_SECONDS = (2.0, 9.0)
SERVICE_LIMIT_PROBABILITY = 0.25
"""Probability that all servers of a service announce the limit."""
COPY_AGE_SECONDS = (0.3, 3.0)
"""Age of the copies that the store is restored from."""
STORE_DOWN_SECONDS = (0.02, 1.5)
REWRITE_DELAY_SECONDS = (0.1, 1.5)
"""Time after which the operator and the servers write lost rows again."""
CRASHED_TOGETHER = (2, 6)
"""Number of model servers that crash together, as far as enough remain."""
SAME_LAYER_PROBABILITY = 0.5
"""Probability that these are all holders of a layer; random ones rarely leave a layer without a holder."""
MIN_SERVERS_PRESSED = 1
"""Model servers of each data hall that remain then: two can hold all layers together."""
PARTITION_SECONDS = (1.0, 9.0)
BEHIND_SECONDS = (2.0, 4.5)
"""Shorter than the age up to which keys are trusted: afterwards a daemon serves no keyed requests."""
CROWD_KINDS = (
    "bodies",
    "large_chunks",
    "small_chunks",
    "whole_bodies",
    "sent_ahead",
    "tiny_fields",
    "silent",
)
CROWD_CLIENTS = (20, 120)
CROWD_SECONDS = (1.0, 6.0)
INVALID_ENTRIES = (1, 1, 3, 30)
"""Numbers of entries that another writer leaves at once."""
MAX_REWRITES = 5
REWRITE_SECONDS = 0.2
RESTART_ALL_PROBABILITY = 0.3
INVALID_STATUSES = ("000", "099", "101", "600", "999")
INVALID_ANSWER_SECONDS = 2.0
GRACE_SECONDS = 8.0
REVOKE_AFTER = 1.0


class FaultInjector:
    """Injects the faults of one seed, each in a thread of its own.

    :param site: the site to inject faults into.
    :param journal: records the faults.
    :param seed: seed of all random choices.
    :param actions: the faults to choose from.
    """

    def __init__(
        self, site: SoakSite, journal: Journal, seed: int, actions: Sequence[FaultAction] | None = None
    ) -> None:
        self.site = site
        self.journal = journal
        self.actions = DEFAULT_ACTIONS if actions is None else actions
        self.rng = random.Random(seed)
        self.threads: list[threading.Thread] = []
        self.lock = threading.Lock()

    def __repr__(self) -> str:
        return f"<FaultInjector {len(self.journal.faults)} faults>"

    def run(self, seconds: float) -> None:
        """Inject faults for a time, then wait until all have ended and undo what is left of them.

        :param seconds: how long new faults are started.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self.rng.uniform(*INTERVAL_SECONDS))
            action = self.rng.choice(self.actions)
            action(self)
        for thread in self.threads:
            thread.join(GRACE_SECONDS + 2 * LEAVE_SECONDS)
        self.site.heal()

    def start_fault(
        self, name: str, target: str, lasts: float, work: Callable[[], None], planned: bool = False
    ) -> None:
        """Record a fault and inject it in a new thread.

        :param name: its kind.
        :param target: what it hits.
        :param lasts: seconds for which it may have effects.
        :param work: injects and undoes it.
        :param planned: whether it is an operation that must not affect callers.
        """
        at = time.monotonic()
        self.journal.faults.append(Fault(name, target, at, at + lasts, planned))
        thread = threading.Thread(target=work, daemon=True)
        self.threads.append(thread)
        thread.start()

    def random_duration(self) -> float:
        """Return a random duration for a fault."""
        return self.rng.uniform(*FAULT_SECONDS)


def crowd(injector: FaultInjector) -> None:
    """Have clients that don't behave connect to a daemon, and stay for a while or until it is gone."""
    daemon, seconds = injector.rng.choice(injector.site.fleet), injector.rng.uniform(*CROWD_SECONDS)
    kind, clients = injector.rng.choice(CROWD_KINDS), injector.rng.randint(*CROWD_CLIENTS)

    def work() -> None:
        with Crowd(daemon.process.callers, kind, clients, bytes=CROWD_BODY_BYTES, path="/open/x"):
            time.sleep(seconds)

    injector.start_fault("crowd", daemon.incarnation, seconds, work)


def write_invalid_entries(injector: FaultInjector) -> None:
    """Have another writer leave entries that cannot be read, again and again; they stay.

    At times all daemons are killed and started again afterwards.
    """
    rng, site = injector.rng, injector.site
    rows = {
        "servers": (site.of(PLAIN)[0].row(), "addr", ""),
        "bayglade-members": ({"address": "127.0.0.1:1", "hall": "hall-0"}, "address", "members/"),
    }
    table = rng.choice(("servers", "servers", "bayglade-members"))
    row, address, prefix = rows[table]
    rounds = rng.randint(1, MAX_REWRITES)
    entries = [draw_unreadable(row, address, rng) for _ in range(rounds * rng.choice(INVALID_ENTRIES))]
    restart_all = rng.random() < RESTART_ALL_PROBABILITY

    def write() -> None:
        for number, (key, value) in enumerate(entries):
            site.foreign_keys.add(prefix + key)
            site.store.put_bytes(table, prefix + key, value)
            if number % rounds == 0:
                time.sleep(REWRITE_SECONDS)

    injector.start_fault("invalid entries", table, rounds * REWRITE_SECONDS, write, planned=True)
    if restart_all:
        for daemon in site.fleet:
            kill_one(injector, daemon)


def send_invalid_answers(injector: FaultInjector) -> None:
    """Have a server answer with a status that is none, or without an end, its reports as well."""
    rng = injector.rng
    server, status, fault = (
        rng.choice(injector.site.replicas),
        rng.choice(INVALID_STATUSES),
        rng.choice([*ENDLESS]),
    )
    endless = rng.random() < 0.5

    def work() -> None:
        if endless:
            server.faults.set(fault)
            server.reports_without_end = fault
        else:
            server.invalid_status = status
        time.sleep(INVALID_ANSWER_SECONDS)
        server.faults.left[fault] = 0
        server.reports_without_end = server.invalid_status = ""

    name = f"answers {fault if endless else status}"
    injector.start_fault(name, server.id, INVALID_ANSWER_SECONDS + 1.0, work)


def kill(injector: FaultInjector) -> None:
    """Kill a daemon and start it again later."""
    kill_one(injector, injector.rng.choice(injector.site.fleet))


def kill_one(injector: FaultInjector, daemon: SoakDaemon) -> None:
    """Kill a given daemon and start it again later, unless another fault has reserved it."""
    down = injector.random_duration()
    if not daemon.reserve():
        return

    def work() -> None:
        daemon.process.stop()
        time.sleep(down)
        daemon.start()

    injector.start_fault("kill", daemon.name, down + 1.0, work)


def stop(injector: FaultInjector) -> None:
    """Stop a daemon gracefully and start it again when it has exited."""
    daemon, twice = injector.rng.choice(injector.site.fleet), injector.rng.random() < 0.2
    if not daemon.reserve():
        return
    injector.journal.stopped[daemon.incarnation] = time.monotonic()

    def work() -> None:
        daemon.process.signal(signal.SIGTERM)
        if twice:
            time.sleep(0.3)
            daemon.process.signal(signal.SIGTERM)
        if not daemon.exits_within(GRACE_SECONDS):
            injector.journal.violations.append(
                f"stop: {daemon.incarnation} did not exit within {GRACE_SECONDS} s"
            )
            daemon.process.stop()
        daemon.start()

    injector.start_fault("stop", daemon.name, GRACE_SECONDS, work, planned=True)


def pause(injector: FaultInjector) -> None:
    """Suspend a daemon for a while."""
    daemon, lasts = injector.rng.choice(injector.site.fleet), injector.rng.uniform(0.3, 7.0)
    if not daemon.reserve():
        return

    def work() -> None:
        daemon.process.signal(signal.SIGSTOP)
        time.sleep(lasts)
        daemon.process.signal(signal.SIGCONT)
        daemon.end_reservation()

    injector.start_fault("pause", daemon.name, lasts + 0.5, work)


def partition(injector: FaultInjector) -> None:
    """Cut the links of some daemons to all backend servers; one daemon at least keeps its links."""
    site, rng = injector.site, injector.rng
    how = rng.choice([kind for kind in Partition if kind is not Partition.NONE])
    lasts = rng.uniform(*PARTITION_SECONDS)
    sound = [daemon for daemon in site.fleet if daemon.partition is Partition.NONE]
    chosen = rng.sample(sound, rng.randint(1, len(sound) - 1)) if len(sound) > 1 else []

    def work() -> None:
        time.sleep(lasts)
        for daemon in chosen:
            daemon.cut(Partition.NONE)

    for daemon in chosen:
        daemon.cut(how)
        injector.start_fault(PARTITION, daemon.name, lasts, lambda: None)
    if chosen:
        thread = threading.Thread(target=work, daemon=True)
        injector.threads.append(thread)
        thread.start()


def fall_behind(injector: FaultInjector) -> None:
    """Cut a daemon off from the store and from the servers of one service."""
    site, rng = injector.site, injector.rng
    lasts = rng.uniform(*BEHIND_SECONDS)
    lost = rng.choice((MODEL, PLAIN))
    daemon = rng.choice(site.fleet)
    if any(other.partition is not Partition.NONE for other in site.fleet):
        return
    reached = [server.address for server in site.replicas if server not in site.of(lost)]

    def work() -> None:
        time.sleep(lasts)
        daemon.cut(Partition.NONE)
        daemon.cut_store(False)

    daemon.cut(Partition.RESET, reached)
    daemon.cut_store(True)
    injector.start_fault("behind", daemon.name, lasts, work)


def reload(injector: FaultInjector) -> None:
    """Rewrite a daemon's settings file, with or without a reload signal."""
    daemon, told = injector.rng.choice(injector.site.fleet), injector.rng.random() < 0.5

    def work() -> None:
        daemon.process.write()
        if told and daemon.reserve():
            daemon.process.signal(signal.SIGHUP)
            daemon.end_reservation()

    injector.start_fault("reload", daemon.name, 0.5, work, planned=True)


def disturb_link(injector: FaultInjector) -> None:
    """Delay, reset or silence the connections of a link, in one direction or both."""
    rng = injector.rng
    lasts = rng.uniform(*LINK_FAULT_SECONDS)
    target = rng.choice(list(injector.site.proxies.links.values()))
    how = rng.choice(LINK_FAULTS)
    delay = rng.uniform(0.02, 0.6)

    def work() -> None:
        if how == "reset":
            injector.site.proxies.reset(target)
            return
        target.delay = delay if how == "delay" else 0.0
        target.mute_up = how in ("silence", "upwards")
        target.mute_down = how in ("silence", "downwards")
        time.sleep(lasts)
        target.heal()

    injector.start_fault(f"link {how}", target.target, lasts, work)


def fail_store(injector: FaultInjector) -> None:
    """Have the store fail for a while."""
    how, lasts = injector.rng.choice(STORE_FAULTS), injector.random_duration()

    def work() -> None:
        injector.site.store.faults.set(how)
        time.sleep(lasts)
        injector.site.store.faults.left[how] = 0

    # A call that hangs when the fault ends may hang for up to 5 s more.
    injector.start_fault(f"store {how}", "store", lasts + 5.0, work)


def restore(injector: FaultInjector) -> None:
    """Restore the store from an older copy; the operator and the servers write lost rows again later."""
    copied, away = injector.rng.uniform(*COPY_AGE_SECONDS), injector.rng.uniform(*STORE_DOWN_SECONDS)
    again = injector.rng.uniform(*REWRITE_DELAY_SECONDS)

    def work() -> None:
        site = injector.site
        with injector.lock:
            site.restore_store(site.store.version_before(copied), away)
        time.sleep(again)
        with injector.lock:
            site.rewrite_lost_rows()

    injector.start_fault("restore", "store", away + again + 1.0, work)


def spoil_answers(injector: FaultInjector) -> None:
    """Have a server give some faulty answers."""
    service = injector.site.of(injector.rng.choice((MODEL, PLAIN)))
    server = injector.rng.choice(service)
    how = injector.rng.choice(STREAM_FAULTS if server.kind else WHOLE_FAULTS)
    times = injector.rng.randint(2, 12)

    def work() -> None:
        server.faults.set(how, times)
        time.sleep(2.0)
        server.faults.left[how] = 0

    injector.start_fault(f"answers {how}", server.id, 3.0, work)


def crash(injector: FaultInjector) -> None:
    """Crash a server; an empty one replaces it later, at another address."""
    server, down = injector.rng.choice(injector.site.replicas), injector.random_duration()
    if not injector.site.withdraw(server):
        return

    def work() -> None:
        server.die()
        time.sleep(down)
        injector.site.add_successor(server)
        time.sleep(max(0.0, ROW_REMOVAL_SECONDS - down))
        injector.site.store.drop("servers", server.id)

    injector.start_fault("crash", server.id, ROW_REMOVAL_SECONDS + 2.0, work)


def crash_together(injector: FaultInjector) -> None:
    """Crash several model servers at once, random ones or all holders of a layer; empty ones come later."""
    rng, site = injector.rng, injector.site
    servers = site.of(MODEL)
    layer, some = (
        rng.randrange(LAYERS),
        rng.sample(servers, min(len(servers), rng.randint(*CRASHED_TOGETHER))),
    )
    holders = [server for server in servers if layer in range(*server.held)]
    chosen = holders if rng.random() < SAME_LAYER_PROBABILITY else some
    down = injector.random_duration()
    victims = [server for server in chosen if site.withdraw(server, MIN_SERVERS_PRESSED)]
    if not victims:
        return

    def work() -> None:
        for server in victims:
            threading.Thread(target=server.die, daemon=True).start()
        time.sleep(down)
        for server in victims:
            site.add_successor(server)
        time.sleep(max(0.0, ROW_REMOVAL_SECONDS - down))
        for server in victims:
            site.store.drop("servers", server.id)

    targets = ",".join(server.id for server in victims)
    injector.start_fault("crash together", targets, ROW_REMOVAL_SECONDS + 2.0, work)


def leave(injector: FaultInjector) -> None:
    """Have a server leave gracefully after its successor has joined."""
    server = injector.rng.choice(injector.site.replicas)
    if not injector.site.withdraw(server):
        return

    def announce() -> None:
        server.state = "draining"
        server.register()
        injector.journal.leaving[server.id] = time.monotonic()

    injector.start_fault(
        "leave", server.id, LEAVE_SECONDS + 2.0, lambda: _leave(injector, server, announce), planned=True
    )


def _leave(injector: FaultInjector, server: Replica, announce: Callable[[], None]) -> None:
    """Add a server's successor, then have the server announce that it leaves, and end it."""
    injector.site.add_successor(server)
    time.sleep(1.0)
    announce()
    time.sleep(LEAVE_SECONDS)
    server.server.end()
    injector.site.store.drop("servers", server.id)


def rotate_keys(injector: FaultInjector) -> None:
    """Add a new key; after a while revoke the oldest."""

    def work() -> None:
        with injector.lock:
            added = injector.site.add_key()
            injector.journal.key_versions[added] = injector.site.version
        time.sleep(REVOKE_AFTER)
        with injector.lock:
            removed = injector.site.remove_key()
            if removed is not None:
                injector.journal.revoked[removed] = time.monotonic()

    injector.start_fault("change", "settings", REVOKE_AFTER + 1.0, work, planned=True)


def answer_retry_after(injector: FaultInjector) -> None:
    """Have a server refuse requests with ``Retry-After``."""
    server = injector.rng.choice(injector.site.replicas)
    asked, lasts = injector.rng.choice(RETRY_AFTER_VALUES), injector.random_duration()

    def work() -> None:
        server.retry_after = asked
        server.faults.set("refuse")
        time.sleep(lasts)
        server.faults.left["refuse"] = 0
        server.retry_after = ""

    injector.start_fault("rest", server.id, lasts + float(asked), work)


def announce_rate_limit(injector: FaultInjector) -> None:
    """Have a server, or all servers of its service, announce a rate limit."""
    rng = injector.rng
    chosen = rng.choice(injector.site.replicas)
    servers = (
        injector.site.of(MODEL if chosen.kind else PLAIN)
        if rng.random() < SERVICE_LIMIT_PROBABILITY
        else [chosen]
    )
    rate, lasts = rng.choice(RATE_LIMIT_VALUES), rng.uniform(*RATE_LIMIT_SECONDS)

    def work() -> None:
        for server in servers:
            server.rate_limit = rate
        time.sleep(lasts)
        for server in servers:
            server.rate_limit = ""

    injector.start_fault("limit", chosen.id, lasts + 2.0, work)


def leave_by_answers_only(injector: FaultInjector) -> None:
    """Have a server leave that announces it in its answers only, after its successor has joined."""
    server = injector.rng.choice(injector.site.replicas)
    if not injector.site.withdraw(server):
        return

    def announce() -> None:
        server.says_leaving = True

    injector.start_fault(
        "leave unheard", server.id, LEAVE_SECONDS + 2.0, lambda: _leave(injector, server, announce)
    )


DEFAULT_ACTIONS: tuple[FaultAction, ...] = (
    kill,
    stop,
    pause,
    reload,
    *[disturb_link] * 3,
    fail_store,
    *[spoil_answers] * 5,
    crash,
    leave,
    rotate_keys,
)
"""Links and answers fail most often."""

RESTING_ACTIONS: tuple[FaultAction, ...] = (
    *DEFAULT_ACTIONS,
    *[answer_retry_after] * 5,
    *[leave_by_answers_only] * 2,
)
"""Separate from the default, so that known seeds keep choosing the same faults."""

LIMITED_ACTIONS: tuple[FaultAction, ...] = (*DEFAULT_ACTIONS, *[announce_rate_limit] * 8)

RESTORED_ACTIONS: tuple[FaultAction, ...] = (
    *DEFAULT_ACTIONS,
    *[restore] * 4,
    *[leave] * 2,
    *[rotate_keys] * 3,
    kill,
    stop,
)

INVALID_ACTIONS: tuple[FaultAction, ...] = (
    *DEFAULT_ACTIONS,
    *[write_invalid_entries] * 5,
    *[send_invalid_answers] * 4,
)

CROWDED_ACTIONS: tuple[FaultAction, ...] = (*DEFAULT_ACTIONS, *[crowd] * 8)

PRESSED_ACTIONS: tuple[FaultAction, ...] = (crash_together, kill, *[reload] * 4)
"""Harmless faults give the servers some time to load in between."""

PARTITIONED_ACTIONS: tuple[FaultAction, ...] = (
    *[partition] * 3,
    kill,
    stop,
    pause,
    reload,
    rotate_keys,
    crash,
)
"""Partitions in series, which overlap with each other, with stops and kills."""

BEHIND_ACTIONS: tuple[FaultAction, ...] = (*[fall_behind] * 3, *[rotate_keys] * 3, kill, reload)
"""Daemons that reach neither the store nor some servers while keys change."""

UNSTEADY_ACTIONS: tuple[FaultAction, ...] = (fail_store, fail_store, kill, pause, disturb_link)
"""Faults that cut daemons off from the store and from each other; seeds depend on the order."""
