"""A small world of processes on loopback: stand-ins and daemons, for demo, tests and bench.

Everything started here is ended by :meth:`World.stop`, by process id.
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
"""Seconds that a process may take to come up: with 30 tasks waiting for 8 cores one took more than
15. How long it takes is not what is tested."""
STOP_TIMEOUT = 60.0
"""Seconds that a process may take to end once it was killed; not tested either."""
WAIT_TIMEOUT = 15.0
"""Seconds in which a condition that a test waits for has to hold."""
POLL = 0.02
PROGRAM = ("-m", "bayglade")
CALLER_KEY = "caller-key"
OPERATOR_KEY = "operator-key"

FIRST_PORT, PORT_RANGES, PORTS_A_RANGE = 15000, 16, 1000

# Processes that run at the same time begin at different ranges. Workers of one test run are
# told apart by their number: two whose process ids happened to agree took the same port, each
# before the other's process listened on it. Two test runs begin at different places.
_run = sum(os.environ.get("PYTEST_XDIST_TESTRUNUID", "").encode())
_worker = os.environ.get("PYTEST_XDIST_WORKER", "").removeprefix("gw")
_place = _run + int(_worker) if _worker.isdigit() else os.getpid()
_range = FIRST_PORT + _place % PORT_RANGES * PORTS_A_RANGE
_ports = cycle(range(_range, _range + PORTS_A_RANGE))
_reserved: list[socket.socket] = []
"""Sockets that hold the ports handed out here against other runs, also while nobody listens on them: a
daemon that came back found its port taken by another run."""

ValueT = TypeVar("ValueT")


class Process:
    """One process of the world: its address for requests and its log."""

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
        """End it at once and wait for its end."""
        self.popen.kill()
        self.popen.wait(STOP_TIMEOUT)


class World:
    """Processes, a folder for their files, and HTTP towards them."""

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
        """End every process that this world started and remove its folder."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.kill()
        release_ports(self.ports_before)
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, name: str, arguments: list[str], address: str, path: str) -> Process:
        """Start one process; :meth:`wait_up` waits until it answers.

        :param name: its name here.
        :param arguments: after the Python program.
        :param address: where it will answer.
        :param path: a page that answers when it is up.
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
        """Start the stand-in of the platform and wait until it answers."""
        self.platform = f"{HOST}:{free_port()}"
        arguments = ["-m", "standins.platform", "--listen", self.platform]
        process = self.start("platform", arguments, self.platform, "/standin/counts")
        self.wait_up()
        return process

    def start_engine(self, name: str, first: int, last: int, **options: object) -> Process:
        """Start a stand-in of an engine that holds layers ``[first, last)``.

        :param options: ``version``, ``step_ms``, ``slots``, ``address``.
        """
        address = str(options.pop("address", f"{HOST}:{free_port()}"))
        arguments = ["-m", "standins.engine", "--listen", address, "--id", name]
        arguments += ["--first", str(first), "--last", str(last)]
        arguments += ["--record", str(self.folder / f"{name}.record")]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        return self.start(name, arguments, address, "/v1/load")

    def record(self, name: str) -> list[list[Any]]:
        """Read what an engine has run, whether or not it still lives.

        :return: request, attempt, index, first layer, last layer, time, in order.
        """
        path = self.folder / f"{name}.record"
        lines = path.read_bytes().splitlines() if path.exists() else []
        return [msgspec.json.decode(line) for line in lines]

    def start_service(self, name: str) -> Process:
        """Start a stand-in of a plain service."""
        address = f"{HOST}:{free_port()}"
        arguments = ["-m", "standins.service", "--listen", address]
        return self.start(name, arguments, address, "/standin/runs")

    def start_daemon(
        self, name: str, listed: bool = True, program: tuple[str, ...] = PROGRAM, **fields: object
    ) -> Process:
        """Start an entry daemon.

        :param listed: put it on the host list first.
        :param program: what Python is to run.
        :param fields: fields of its own settings that differ from the usual.
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
        """Put a host on the platform's host list."""
        host = {"id": name, "kind": kind, "address": address, "hall": "plateau", "state": state}
        self.post(self.platform, "/standin/hosts", host)

    def write_settings(self, tree: dict[str, Any]) -> Path:
        """Write a settings file into the folder."""
        path = self.folder / "tree.yaml"
        path.write_text(documents.write(tree, 0), encoding="utf-8")  # type: ignore[arg-type]
        return path

    def cli(self, *arguments: str, address: str = "", key: str = OPERATOR_KEY) -> tuple[int, str]:
        """Run a command of the program.

        :return: its exit code and what it printed.
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
        """Change the settings through a daemon, as the command does.

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
        """Wait until daemons have settings and hear each other."""
        self.wait_up()
        for daemon in daemons:
            wait_for(f"{daemon.name} is ready", lambda d=daemon: self._ready(d, daemons))

    def _ready(self, daemon: Process, daemons: tuple[Process, ...]) -> bool:
        try:
            status = AdminClient(daemon.address, OPERATOR_KEY).status()
        except BaygladeError:
            return False
        heard = [m for m in status.members if m.live and m.revision == status.revision]
        return status.ready and len(heard) >= len(daemons) - 1

    def _answers(self, process: Process) -> bool:
        if process.popen.poll() is not None:
            raise RuntimeError(f"{process.name} ended:\n{process.log.read_text()[-2000:]}")
        try:
            url = f"http://{process.address}{process.path}"
            return self.http.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def wait_for(what: str, probe: Callable[[], ValueT], timeout: float = WAIT_TIMEOUT) -> ValueT:
    """Wait until a condition holds.

    :param what: the condition in words, for the error.
    :param probe: returns something true when it holds.
    :param timeout: seconds after which waiting makes no sense.
    :return: what the probe returned.
    :raises TimeoutError: when it did not come to hold.
    """
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        value = probe()
        if value:
            return value
        time.sleep(POLL)
    raise TimeoutError(f"it did not come true that {what}")


def free_port() -> int:
    """Return a port that nobody listens on and that no other call returned.

    Ports for outgoing connections are left alone: one could take the port
    before the process that it is meant for listens on it.

    :raises RuntimeError: when all ports of this process are taken.
    """
    for port in islice(_ports, PORTS_A_RANGE):
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
                _reserve(port)
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


def reserved_ports() -> int:
    """Return how many ports are kept for this process."""
    return len(_reserved)


def release_ports(since: int) -> None:
    """Give ports back, once the processes that used them have ended.

    :param since: how many were kept before these; a soak of many seeds would run out of them.
    """
    while len(_reserved) > since:
        _reserved.pop().close()


def _reserve(port: int) -> None:
    """Keep a port for this process; what it is used for is another protocol.

    :raises OSError: when another process has it.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        raise
    _reserved.append(sock)


def digest(key: str) -> str:
    """Return the SHA-256 of a key as it stands in the settings."""
    return sha256(key.encode()).hexdigest()


def usual_tree(backends: dict[str, Any], services: dict[str, Any], layers: int) -> dict[str, Any]:
    """Build a tree with two organisations, one account each and one operator.

    :param backends: as in the settings.
    :param services: as in the settings.
    :param layers: how many layers the model ``guide`` has.
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
    """Describe an engine as the settings do."""
    usual = {"hall": "plateau", "accelerator": "l4", "model": "guide", "version": "v1"}
    return {"address": process.address, "first": first, "last": last, **usual, **facts}
