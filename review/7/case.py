"""The reset of one daemon's connection to the store keeps a server that left in use at other daemons."""

import os
import socket
import struct
import sys
import threading
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

from harness import Client, Record, SmallSite, play, wait_ready

from standins.users.daemon import Daemon
from standins.users.replica import Replica

TROUBLE = os.environ.get("TROUBLE") != "0"
DAEMONS, HALLS = 9, 3
SETTLE_SECONDS = 8.0
DRAIN_SECONDS = 2.0
LEAVE_AFTER = 0.15
"""Seconds from the reset until the server's entry is removed."""
WATCH_SECONDS = 4.5
ROUNDS = 12
REQUEST_PAUSE = 0.1


class Proxy:
    """The path from one daemon to the store, whose connections can be reset."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.pairs: dict[tuple[socket.socket, socket.socket], bytes] = {}
        """The open connections, with the last call that was sent on each."""

        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self, table: str) -> str:
        """Reset the connection on which the daemon waits for changes of a table; return what was done."""
        waiting = [pair for pair, call in list(self.pairs.items()) if f"table={table}&".encode() in call]
        total = len(self.pairs)
        for pair in waiting:
            self.pairs.pop(pair, None)
            for sock in pair:
                # One of them may have ended meanwhile.
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    sock.shutdown(socket.SHUT_RD)
                sock.close()
        return f"{len(waiting)} of {total} connections to the store reset"

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            store = socket.create_connection(self.target)
            for one in (sock, store):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = (sock, store)
            self.pairs[pair] = b""
            for source, sink in (pair, pair[::-1]):
                threading.Thread(target=self._pass_on, args=(source, sink, pair), daemon=True).start()

    def _pass_on(
        self, source: socket.socket, sink: socket.socket, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        with suppress(OSError):
            while data := source.recv(65536):
                if source is pair[0]:
                    self.pairs[pair] = data
                sink.sendall(data)
        self.pairs.pop(pair, None)
        for sock in pair:
            sock.close()


class Traffic:
    """A client of each daemon, which sends repeatable requests and keeps its connection."""

    def __init__(self, daemons: list[Daemon], record: Record) -> None:
        self.went_on = True
        self.daemon_of: dict[str, str] = {}
        self.statuses: Counter[int] = Counter()
        self.threads = [
            threading.Thread(target=self._send, args=(daemon, record), daemon=True) for daemon in daemons
        ]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """End the clients."""
        self.went_on = False
        for thread in self.threads:
            thread.join()

    def _send(self, daemon: Daemon, record: Record) -> None:
        name = daemon.settings["member"]
        client = Client(f"{name}c", daemon.callers, record)
        client.connect()
        while self.went_on:
            self.daemon_of[f"{client.name}-{client.sent + 1}"] = name
            self.statuses[client.request("GET", "/safe/x")] += 1
            time.sleep(REQUEST_PAUSE)
        client.close()


class Round:
    """One server that leaves just after a connection of one daemon that reads the store was reset."""

    def __init__(self, site: SmallSite, proxies: list[Proxy], touched: set[str], record: Record) -> None:
        self.site = site
        self.proxies = proxies
        self.touched = touched
        self.record = record

    def play(self, server: Replica) -> float:
        """Play it, and return when the server left."""
        duties = [daemon.beliefs()["duty"] for daemon in self.site.daemons]
        reader = duties.index("site")
        self.record(f"duties of the daemons: {duties}")
        began = time.monotonic()
        self._reset(reader, "bayglade-members")
        time.sleep(began + LEAVE_AFTER - time.monotonic())
        self.site.store.drop("servers", server.id)
        left = time.monotonic()
        self.record(f"the entry of {server.id} is removed, acknowledged by the store; it serves on")
        time.sleep(left + WATCH_SECONDS - time.monotonic())
        return left

    def _reset(self, number: int, table: str) -> None:
        if TROUBLE:
            name = self.site.daemons[number].settings["member"]
            self.touched.add(name)
            self.record(f"{name}: {self.proxies[number].reset(table)}")


def main(record: Record) -> int:
    """Play the case; return the exit status of the script."""
    with SmallSite(halls=0, plain=14) as site:
        proxies = [Proxy(site.store.server.address) for _ in range(DAEMONS)]
        daemons = [
            site.launch(f"d{n}", f"hall-{n % HALLS}", store=proxies[n].address) for n in range(DAEMONS)
        ]
        wait_ready(daemons)
        time.sleep(SETTLE_SECONDS)
        traffic = Traffic(daemons, record)
        time.sleep(1.0)
        touched: set[str] = set()
        play = Round(site, proxies, touched, record)
        late = 0
        for server in site.replicas[:ROUNDS]:
            left = play.play(server)
            for request, at in server.arrived:
                by = traffic.daemon_of[request]
                if at >= left:
                    record(f"{request} reached {server.id} {at - left:.3f} s after its leaving, by {by}")
                # A daemon that was ever touched is left out, though it is in touch again later.
                late += at - left > DRAIN_SECONDS and by not in touched
        traffic.stop()
    record(f"statuses: {dict(traffic.statuses)}")
    record(
        f"requests by daemons that were never touched, later than {DRAIN_SECONDS} s after a leaving: {late}"
    )
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(play(main, Path(__file__).with_name("record.txt")))
