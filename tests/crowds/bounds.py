"""What must hold beside a crowd: the process lives, within the memory and descriptors of its host."""

import threading
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import psutil

MACHINE_MB = 128
"""Memory of the hosts in these tests. The users' hosts have 300 MB for bodies of 4 MiB; here bodies and
answers have 1 MiB."""
BODY_BYTES = 1024 * 1024
CLIENTS = 300
DESCRIPTORS = 600
"""Descriptors of the host in the test of connections; the users' hosts have 4,100."""
FILE_DESCRIPTORS = 200
"""Those of them that are reserved for files."""
SILENT_CLIENTS = 700
KILL_MB = 1200
"""Memory at which a process is killed, to spare the machine that runs the tests."""
SAMPLE_SECONDS = 0.05
MB = 1024 * 1024


class Watch:
    """Samples the memory and descriptors of a process, with the bytes that it has not read yet.

    :param pid: the process.
    :param own: the ports that it listens on.
    :param servers: the ports of the servers that it connects to.
    """

    def __init__(self, pid: int, own: Iterable[int], servers: Iterable[int]) -> None:
        self.process = psutil.Process(pid)
        self.own = {f"{port:04X}" for port in own}
        self.servers = {f"{port:04X}" for port in servers}
        self.peak_mb = 0.0
        self.peak_unread_mb = 0.0
        self.peak_descriptors = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self.stopping.wait(SAMPLE_SECONDS):
            try:
                self._sample()
            except psutil.NoSuchProcess:
                return

    def _sample(self) -> None:
        unread_mb = self._unread_bytes() / MB
        memory_mb = self.process.memory_info().rss / MB
        self.peak_mb = max(self.peak_mb, memory_mb + unread_mb)
        self.peak_unread_mb = max(self.peak_unread_mb, unread_mb)
        self.peak_descriptors = max(self.peak_descriptors, self.process.num_fds())
        if memory_mb > KILL_MB:
            self.process.kill()

    def _unread_bytes(self) -> int:
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, remote, _, queues = line.split()[:5]
            if local[-4:] in self.own or remote[-4:] in self.servers:
                total += int(queues.partition(":")[2], 16)
        return total


@contextmanager
def watched(pid: int, own: Iterable[int], servers: Iterable[int] = ()) -> Iterator[Watch]:
    """Watch a process; at the end, check that it lives and stayed within the memory of its host.

    :param pid: the process.
    :param own: the ports that it listens on.
    :param servers: the ports of the servers that it connects to.
    """
    watch = Watch(pid, own, servers)
    watch.thread.start()
    try:
        yield watch
    finally:
        watch.stopping.set()
        watch.thread.join()
    assert watch.process.is_running() and watch.process.status() != psutil.STATUS_ZOMBIE
    assert watch.peak_mb <= MACHINE_MB, (watch.peak_mb, watch.peak_unread_mb)
