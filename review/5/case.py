"""A daemon is cut off from the store and some servers while the configuration changes."""

import base64
import http.client
import json
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from bayglade.readers import Ranking
from review.support import BROKEN, HELD, NOT_RUN, TROUBLE, Client, Record, ending, play, start_daemons
from standins.users import Daemon, Replica, UsersSite
from standins.users.configuration import KEY
from standins.users.web import HOST
from standins.world import free_port

CUT, KEPT, LATER = "app-one", "app-two", "app-three"
"""Services: one whose servers lose their path to a daemon, one that keeps it, one that routes move to."""
SERVERS = {CUT: 2, KEPT: 4, LATER: 4}
DAEMONS = 4
REVERT_SECONDS = 0.25
"""The bound ``revertMs``."""
CUT_SECONDS = 4.0
PAUSE_SECONDS = 0.04


class AppReplica(Replica):
    """A server of a plain service with a name of its own."""

    def __init__(self, site: UsersSite, service: str, number: int) -> None:
        self.service = service
        super().__init__(site, f"{service}-{number}", "hall-0", None)

    def row(self) -> dict[str, Any]:
        """Return the content of its row."""
        return {**super().row(), "service": self.service}


class Link:
    """The path of one daemon to one server: passes bytes until it is cut, then resets and refuses."""

    def __init__(self, target: str) -> None:
        self.target = (target.rpartition(":")[0], int(target.rpartition(":")[2]))
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.open: list[socket.socket] = []
        self.listening: socket.socket | None = None
        self.restore()

    def restore(self) -> None:
        """Accept connections."""
        self.listening = socket.create_server((HOST, self.port))
        threading.Thread(target=self._accept, args=(self.listening,), daemon=True).start()

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        if self.listening is not None:
            self.listening.shutdown(socket.SHUT_RDWR)
            self.listening.close()
        for sock in self.open:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        self.open.clear()

    def _accept(self, listening: socket.socket) -> None:
        while True:
            try:
                near, _ = listening.accept()
            except OSError:
                return
            far = socket.create_connection(self.target)
            self.open += [near, far]
            for one, other in ((near, far), (far, near)):
                threading.Thread(target=self._pass, args=(one, other), daemon=True).start()

    def _pass(self, one: socket.socket, other: socket.socket) -> None:
        try:
            while data := one.recv(65536):
                other.sendall(data)
            other.shutdown(socket.SHUT_WR)
        except OSError:
            other.close()


class StoreLink:
    """The path of one daemon to the store; in its view, servers are reached over that daemon's links."""

    def __init__(self, store: str, links: dict[str, Link]) -> None:
        self.store = store
        self.links = links
        self.is_cut = False
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_: Any) -> None:
                """Log nothing."""

            def do_GET(self) -> None:
                """Pass a call on; say nothing while cut."""
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                outer.wait_while_cut()
                connection = http.client.HTTPConnection(outer.store, timeout=35.0)
                connection.request(self.command, self.path, body or None)
                answer = connection.getresponse()
                content = answer.read()
                connection.close()
                outer.wait_while_cut()
                if "table=servers" in self.path and answer.status == 200:
                    content = outer.rewrite(content)
                self.send_response_only(answer.status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_POST = do_GET

        self.server = ThreadingHTTPServer((HOST, free_port()), Handler)
        self.server.daemon_threads = True
        self.server.handle_error = lambda *_: None  # type: ignore[method-assign]
        self.address = f"{HOST}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def wait_while_cut(self) -> None:
        """Hold a call or an answer back."""
        while self.is_cut:
            time.sleep(0.02)

    def rewrite(self, content: bytes) -> bytes:
        """Replace the addresses of servers by those of the links."""
        page = json.loads(content)
        for row in page["rows"]:
            if "value" in row:
                value = json.loads(base64.b64decode(row["value"]))
                if (link := self.links.get(value.get("addr"))) is not None:
                    value["addr"] = link.address
                    row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
        return json.dumps(page).encode()


def configure(site: UsersSite, moved: bool) -> None:
    """Write a configuration with a route to each of two services, which may both be moved to a third."""
    site.configure()
    document = site.configuration
    route = next(r for r in document["routes"] if r["kind"] == "safe" and not r.get("public"))
    document["routes"] = [
        {**route, "name": service, "pathPrefix": f"/{service}/", "service": LATER if moved else service}
        for service in (CUT, KEPT)
    ]
    document["services"] = [{"name": service, "maxConns": 100} for service in SERVERS]
    site.store.put("op", "config", document)


def first_reader(count: int) -> int:
    """Return the number of the daemon that reads the store for the others."""
    ranked = Ranking({f"d{number}": "hall-0" for number in range(count)}).ranked  # type: ignore[arg-type]
    return int(ranked[0][1:])


class Asker:
    """A client that asks for one route of one daemon again and again."""

    def __init__(self, daemon: Daemon, service: str, record: Record) -> None:
        self.service = service
        self.client = Client(daemon.callers, record)
        self.sent: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def stop(self) -> None:
        """Stop asking."""
        self.stopping.set()
        self.thread.join()

    def _run(self) -> None:
        number = 0
        while not self.stopping.is_set():
            request = f"{self.service}-{number}"
            self.sent[request] = time.monotonic()
            answer = self.client.ask(request, f"/{self.service}/x", KEY, "GET", 1500)
            self.statuses[request] = answer.status
            number += 1
            time.sleep(PAUSE_SECONDS)


def case(record: Record) -> int:
    """Return whether a daemon went back to an older configuration."""
    with ending(UsersSite(halls=1, stages=0, plain=0)) as site:
        for service, count in SERVERS.items():
            for number in range(count):
                site.add(AppReplica(site, service, number))
        configure(site, moved=False)
        links = {r.address: Link(r.address) for r in site.replicas if r.service == CUT}  # type: ignore[attr-defined]
        view = StoreLink(site.store.server.address, links)
        chosen = first_reader(DAEMONS)
        daemons: list[Daemon] = []
        for number in range(DAEMONS):
            store = view.address if number == chosen else site.store.server.address
            daemons += start_daemons(site, 1, store=store)
        time.sleep(4.0)
        for daemon in daemons:
            record.note(daemon.settings["member"], "duty", daemon.beliefs()["duty"])
        if daemons[chosen].beliefs()["duty"] != "site":
            return NOT_RUN
        askers = [Asker(daemons[chosen], service, record) for service in (CUT, KEPT)]
        time.sleep(1.0)
        if TROUBLE:
            view.is_cut = True
            for link in links.values():
                link.cut()
            record.note("cut off from the store and from the servers of", CUT)
        time.sleep(0.1)
        configure(site, moved=True)
        record.note("configuration", site.version, "taken: both routes move to", LATER)
        time.sleep(CUT_SECONDS)
        if TROUBLE:
            view.is_cut = False
            for link in links.values():
                link.restore()
        time.sleep(0.5)
        for asker in askers:
            asker.stop()
        return judge(site, askers, record)


def judge(site: UsersSite, askers: list[Asker], record: Record) -> int:
    """Look for requests that ran by the old service after the new one was seen."""
    sent = {request: at for asker in askers for request, at in asker.sent.items()}
    ran = sorted(
        (at, request, replica.service)  # type: ignore[attr-defined]
        for replica in site.replicas
        for request, at in replica.ran_at
        if request in sent
    )
    seen = min((at for at, _, service in ran if service == LATER), default=None)
    if seen is None:
        return NOT_RUN
    record.note("the new configuration was first seen at", f"{seen - record.start:.3f}")
    old = [
        (request, service)
        for at, request, service in ran
        if service != LATER and sent[request] > seen + REVERT_SECONDS
    ]
    for request, service in old:
        record.note(
            "ran by the old one:", request, "at", service, f"sent {sent[request] - record.start:.3f}"
        )
    record.note("requests that ran as only the older configuration allows:", len(old))
    return BROKEN if old else HELD


if __name__ == "__main__":
    play(case, Path(__file__).parent)
