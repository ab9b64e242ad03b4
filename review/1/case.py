"""All keys of a deployment are taken away; clients that are still connected go on with theirs."""

import time
from pathlib import Path

from review.support import BROKEN, HELD, TROUBLE, Client, Record, ending, play, start_daemons
from standins.users import Daemon, UsersSite
from standins.users.configuration import configuration

KEYS = {"clinic": "key-of-clinic", "school": "key-of-school", "office": "key-of-office"}
NEVER_HELD = "a-key-that-nobody-ever-had"
GAP_SECONDS = 0.3
REVOKE_SECONDS = 5.0
"""The bound ``revokeMs``."""
LATER_SECONDS = 1.0
"""How much later than the bound requests are sent, so that none of them is a matter of timing."""
ROUNDS = 3


def configure(site: UsersSite, version: int, held: dict[str, str]) -> float:
    """Write a configuration in which only some tenants still hold their keys; return when it was taken."""
    document = configuration(version, (), {})
    document["tenants"] = [
        {"name": name, "apiKeys": [held[name]] if name in held else [], "priority": 1} for name in KEYS
    ]
    site.configuration = document
    site.store.put("op", "config", document)
    return time.monotonic()


def case(record: Record) -> int:
    """Return whether a request with a key that was taken away ran after the bound."""
    with ending(UsersSite(halls=1, stages=4, plain=2)) as site:
        configure(site, 10, KEYS)
        daemons = start_daemons(site, 3)
        site.wait_placed()
        clients = {
            (d.settings["member"], name): Client(d.callers, record) for d in daemons for name in KEYS
        }
        ask_all(clients, daemons, "before")
        taken_at = time.monotonic()
        if TROUBLE:
            held = dict(KEYS)
            for number, name in enumerate(KEYS):
                del held[name]
                taken_at = configure(site, 11 + number, held)
                record.note("configuration", 11 + number, "taken; keys left:", sorted(held.values()))
                time.sleep(GAP_SECONDS)
        time.sleep(max(0.0, taken_at + REVOKE_SECONDS + LATER_SECONDS - time.monotonic()))
        for number in range(ROUNDS):
            ask_all(clients, daemons, f"after-{number}")
            time.sleep(0.5)
        return judge(site, record)


def ask_all(clients: dict[tuple[str, str], Client], daemons: list[Daemon], label: str) -> None:
    """Send a call that runs once and a stream with each key to each daemon; one call with no valid key."""
    for (member, name), client in clients.items():
        client.ask(f"{label}-{member}-{name}-once", "/once/x", KEYS[name])
        client.ask(f"{label}-{member}-{name}-stream", "/stream/x", KEYS[name])
    for daemon in daemons:
        member = daemon.settings["member"]
        client = Client(daemon.callers, clients[member, "clinic"].record)
        client.ask(f"{label}-{member}-nobody-once", "/once/x", NEVER_HELD)
        client.close()


def judge(site: UsersSite, record: Record) -> int:
    """Compare what the servers ran with the keys that were held."""
    late = strange = 0
    for replica in site.every_replica:
        for headers in replica.seen:
            request, tenant = headers["x-request-id"], headers.get("x-tenant")
            name = request.rsplit("-", 2)[1]
            record.note("ran", request, "at", replica.id, f"tenant={tenant}")
            if name == "nobody":
                strange += 1
            elif TROUBLE and request.startswith("after-"):
                late += 1
            elif tenant != name:
                strange += 1
    record.note("requests run with a key that was taken away longer ago than the bound:", late)
    record.note("requests run with a key that no configuration ever held, or for another tenant:", strange)
    return BROKEN if late or strange else HELD


if __name__ == "__main__":
    play(case, Path(__file__).parent)
