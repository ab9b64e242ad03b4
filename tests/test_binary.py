"""The single-file build of the program: it serves requests and starts no other process."""

from pathlib import Path

import psutil
import pytest

from standins.world import World, backend, usual_tree
from tests import callers

BINARY = Path(__file__).parent.parent / "dist" / "bayglade"


def test_the_binary_serves_and_starts_no_other_process(world: World, monkeypatch):
    assert BINARY.exists(), "build it with `make binary`, as `make test` does"
    # The folder is a memory file system on hosts without disks.
    monkeypatch.setenv("SHIV_ROOT", str(world.folder / "unpacked"))
    world.start_platform()
    engine = world.start_engine("e1", 0, 8)
    world.wait_up()
    tree = usual_tree({"e1": backend(engine, 0, 8)}, {}, 8)
    world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
    daemon = world.start_daemon("d1", program=(str(BINARY),))
    world.wait_ready(daemon)
    assert callers.complete(daemon.address)[0] == 200
    process = psutil.Process(daemon.popen.pid)
    assert process.children(recursive=True) == []
    maps = [entry.path for entry in process.memory_maps()]
    assert any(str(world.folder / "unpacked") in path for path in maps)


@pytest.mark.parametrize("command", ["entry", "settings apply", "status", "load"])
def test_every_command_has_help(world: World, command):
    code, output = world.cli(*command.split(), "--help")
    assert code == 0 and "sage" in output
