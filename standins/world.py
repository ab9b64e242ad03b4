"""Processes of stand-ins and daemons on the loopback interface, for the demo, tests and benchmarks.

:meth:`World.stop` ends every process that was started here, by process id.
"""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from hashlib import sha256
from itertools import cycle, islice
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import urllib3

from bayglade.exceptions import BaygladeError
from bayglade.operators import documents
from bayglade.operators.client import AdminClient

HOST = "127.0.0.1"
START_TIMEOUT = 60.0
"""Seconds that a process may take to start. One took more than 15 s while 30 tasks waited for 8 cores;
no test depends on the time of a start."""
STOP_TIMEOUT = 60.0
"""Seconds that a process may take to exit after it was killed; no test depends on this either."""
WAIT_TIMEOUT = 15.0
"""Default seconds within which a condition that a test waits for must become true."""
POLL_SECONDS = 0.02
PROGRAM = ("-m", "bayglade")
CALLER_KEY = "caller-key"
OPERATOR_KEY = "operator-key"

FIRST_PORT, PORT_RANGES, PORTS_PER_RANGE = 15000, 16, 1000

# Concurrent test processes use different port ranges. The workers of one test run are distinguished by
# their number: with process ids alone, two workers got the same range and took the same port before
# either listened on it. Different test runs start from different ranges.
_run = sum(os.environ.get("PYTEST_XDIST_TESTRUNUID", "").encode())
_worker = os.environ.get("PYTEST_XDIST_WORKER", "").removeprefix("gw")
_offset = _run + int(_worker) if _worker.isdigit() else os.getpid()
_range = FIRST_PORT + _offset % PORT_RANGES * PORTS_PER_RANGE
_ports = cycle(range(_range, _range + PORTS_PER_RANGE))
_reserved: list[socket.socket] = []
"""Sockets that reserve the returned ports against other test runs, even while no process listens on them:
a restarted daemon once found its port taken by another run."""

ValueT = TypeVar("ValueT")


class Process:
    """A process, with its address for requests and its log."""

    def __init__(
        self, name: str, address: str, popen: subprocess.Popen[bytes], log: Path, path: str
    ) -> None:
        self.name = name
        self.path = path
        self.address = address
        self.popen = popen
        self.log = log

    def __repr__(self) -> str:
        return f"<Process {self.name} {self.popen.pid} at {self.address}>"

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.popen.kill()
        self.popen.wait(STOP_TIMEOUT)


class World:
    """A set of processes, with a folder for their files and an HTTP client."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="bayglade-"))
        self.ports_before = reserved_ports()
        self.processes: dict[str, Process] = {}
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.platform = ""

    def __repr__(self) -> str:
        return f"<World {len(self.processes)} processes>"

    def __enter__(self) -> "World":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Kill every process that was started here, and remove the folder."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.kill()
        release_ports(self.ports_before)
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, name: str, arguments: list[str], address: str, path: str) -> Process:
        """Start one process; :meth:`wait_up` waits until it answers.

        :param name: its name, also of its log.
        :param arguments: arguments to the Python interpreter.
        :param address: the address it will listen on.
        :param path: a path that it answers with 200 when it is up.
        :return: the process.
        """
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": os.getcwd(), "PYTHONWARNINGS": "ignore"},
            )
        process = Process(name, address, popen, log, path)
        self.processes[name] = process
        return process

    def wait_up(self) -> None:
        """Wait until all processes answer."""
        for process in self.processes.values():
            wait_for(f"{process.name} answers", lambda p=process: self._answers(p), START_TIMEOUT)

    def start_platform(self) -> Process:
        """Start the stand-in for the platform and wait until it answers."""
        self.platform = f"{HOST}:{free_port()}"
        arguments = ["-m", "standins.platform", "--listen", self.platform]
        process = self.start("platform", arguments, self.platform, "/standin/counts")
        self.wait_up()
        return process

    def start_engine(self, name: str, first: int, last: int, **options: object) -> Process:
        """Start a stand-in for an engine that holds layers ``[first, last)``.

        :param options: ``address``, or flags of the stand-in, such as ``version`` and ``step_ms``.
        """
        address = str(options.pop("address", f"{HOST}:{free_port()}"))
        arguments = ["-m", "standins.engine", "--listen", address, "--id", name]
        arguments += ["--first", str(first), "--last", str(last)]
        arguments += ["--record", str(self.folder / f"{name}.record")]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        return self.start(name, arguments, address, "/v1/load")

    def record(self, name: str) -> list[list[Any]]:
        """Read what an engine has run; it may have ended since.

        :return: request, attempt, index, first layer, end of the layers and time of each run, in order.
        """
        path = self.folder / f"{name}.record"
        lines = path.read_bytes().splitlines() if path.exists() else []
        return [msgspec.json.decode(line) for line in lines]

    def start_service(self, name: str) -> Process:
        """Start a stand-in for a plain service."""
        address = f"{HOST}:{free_port()}"
        arguments = ["-m", "standins.service", "--listen", address]
        return self.start(name, arguments, address, "/standin/runs")

    def start_daemon(
        self, name: str, listed: bool = True, program: tuple[str, ...] = PROGRAM, **fields: object
    ) -> Process:
        """Start an entry daemon.

        :param listed: whether to add it to the host list first.
        :param program: arguments with which the Python interpreter runs the program.
        :param fields: fields of its settings file that differ from the defaults.
        """
        address = str(fields.pop("callers", f"{HOST}:{free_port()}"))
        peers = str(fields.pop("entries", f"{HOST}:{free_port()}"))
        config = {
            "member": name,
            "hall": "plateau",
            "callers": address,
            "entries": peers,
            "platform": self.platform,
            "entry_secret": "secret-of-this-world",
            "balancer_delay": 0.2,
            "poll_interval": 0.5,
            **fields,
        }
        path = self.folder / f"{name}.yaml"
        path.write_bytes(msgspec.json.encode(config))
        if listed:
            self.list_host(name, "entry", peers)
        return self.start(name, [*program, "entry", "--config", str(path)], address, "/healthz")

    def list_host(self, name: str, kind: str, address: str, state: str = "live") -> None:
        """Add a host to the platform's host list."""
        host = {"id": name, "kind": kind, "address": address, "hall": "plateau", "state": state}
        self.post(self.platform, "/standin/hosts", host)

    def write_settings(self, tree: dict[str, Any]) -> Path:
        """Write a settings file to the folder."""
        path = self.folder / "tree.yaml"
        path.write_text(documents.write(tree, 0), encoding="utf-8")  # type: ignore[arg-type]
        return path

    def cli(self, *arguments: str, address: str = "", key: str = OPERATOR_KEY) -> tuple[int, str]:
        """Run a ``bayglade`` command.

        :return: its exit code and output.
        """
        environment = {**os.environ, "BAYGLADE_KEY": key, "BAYGLADE_ADDRESS": address}
        done = subprocess.run(
            [sys.executable, "-m", "bayglade", *arguments],
            capture_output=True,
            env=environment,
            timeout=60,
            check=False,
        )
        return done.returncode, (done.stdout + done.stderr).decode()

    def post(self, address: str, path: str, value: object) -> None:
        """Post JSON to a stand-in."""
        body = msgspec.json.encode(value)
        response = self.http.request("POST", f"http://{address}{path}", body=body)
        assert response.status == 200, (path, response.status)

    def get(self, address: str, path: str) -> Any:
        """Get JSON from a stand-in."""
        response = self.http.request("GET", f"http://{address}{path}")
        assert response.status == 200, (path, response.status)
        return msgspec.json.decode(response.data)

    def apply(self, address: str, edit: Callable[[dict[str, Any]], None]) -> Any:
        """Change the settings through a daemon, as ``bayglade settings apply`` does.

        :param address: the daemon.
        :param edit: changes the document in place.
        :return: the daemon's answer.
        """
        remote = AdminClient(address, OPERATOR_KEY)
        found = remote.settings()
        after = msgspec.json.decode(msgspec.json.encode(found.document))
        edit(after)
        return remote.change(found.revision, found.document, after, "")

    def wait_ready(self, *daemons: Process) -> None:
        """Wait until daemons are ready and receive heartbeats from each other."""
        self.wait_up()
        for daemon in daemons:
            wait_for(f"{daemon.name} is ready", lambda d=daemon: self._ready(d, daemons))

    def _ready(self, daemon: Process, daemons: tuple[Process, ...]) -> bool:
        try:
            status = AdminClient(daemon.address, OPERATOR_KEY).status()
        except BaygladeError:
            return False
        synced = [m for m in status.members if m.live and m.revision == status.revision]
        return status.ready and len(synced) >= len(daemons) - 1

    def _answers(self, process: Process) -> bool:
        if process.popen.poll() is not None:
            raise RuntimeError(f"{process.name} exited:\n{process.log.read_text()[-2000:]}")
        try:
            url = f"http://{process.address}{process.path}"
            return self.http.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def wait_for(what: str, probe: Callable[[], ValueT], timeout: float = WAIT_TIMEOUT) -> ValueT:
    """Wait until a condition holds.

    :param what: description of the condition, for the error.
    :param probe: returns a true value when the condition holds.
    :param timeout: seconds to wait at most.
    :return: the value that the probe returned.
    :raises TimeoutError: if the condition did not become true in time.
    """
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        value = probe()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"timed out waiting until {what}")


def free_port() -> int:
    """Return a port that is not in use and that no other call has returned.

    The ports are outside the ephemeral range: an outgoing connection could take one of that
    range before the intended process listens on it.

    :raises RuntimeError: if all ports of this process are taken.
    """
    for port in islice(_ports, PORTS_PER_RANGE):
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
                _reserve(port)
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


def reserved_ports() -> int:
    """Return the number of ports reserved by this process."""
    return len(_reserved)


def release_ports(since: int) -> None:
    """Release reserved ports after the processes that used them have ended.

    A soak test of many seeds would run out of ports otherwise.

    :param since: number of reserved ports to keep, the oldest.
    """
    while len(_reserved) > since:
        _reserved.pop().close()


def _reserve(port: int) -> None:
    """Reserve a port by binding it for UDP, which does not keep TCP servers from using it.

    :raises OSError: if another process has reserved it.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        raise
    _reserved.append(sock)


def digest(key: str) -> str:
    """Return the SHA-256 of a key, as the settings contain it."""
    return sha256(key.encode()).hexdigest()


def usual_tree(backends: dict[str, Any], services: dict[str, Any], layers: int) -> dict[str, Any]:
    """Build a settings document with two organisations, two accounts each, and two operators.

    :param backends: the backend servers, as in the settings.
    :param services: the services, as in the settings.
    :param layers: number of layers of the model ``guide``.
    :return: the document.
    """
    return {
        "root": {
            "groups": {
                "khangai": {"share": 2.0, "groups": {"gates": {}, "kiosks": {}}},
                "kines": {"share": 1.0, "groups": {"plateau": {}, "pikine": {}}},
            }
        },
        "models": {"guide": {"layers": layers, "version": "v1"}},
        "backends": backends,
        "services": services,
        "accounts": {
            "gates": {"group": "khangai/gates", "key_sha256": digest(CALLER_KEY)},
            "kiosks": {"group": "khangai/kiosks", "key_sha256": digest("kiosks-key")},
            "plateau": {"group": "kines/plateau", "key_sha256": digest("plateau-key")},
            "pikine": {"group": "kines/pikine", "key_sha256": digest("pikine-key")},
        },
        "operators": {
            "root": {"subtree": "", "key_sha256": digest(OPERATOR_KEY)},
            "kines": {"subtree": "kines", "key_sha256": digest("kines-operator-key")},
        },
    }


def backend(process: Process, first: int, last: int, **facts: object) -> dict[str, Any]:
    """Return the entry of an engine in the settings."""
    usual = {"hall": "plateau", "accelerator": "l4", "model": "guide", "version": "v1"}
    return {"address": process.address, "first": first, "last": last, **usual, **facts}
