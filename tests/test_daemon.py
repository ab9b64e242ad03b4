"""The entry daemon as a process: listening addresses and exit codes."""

from standins.world import HOST, World, free_port, wait_for


def test_two_daemons_cannot_share_an_address(world: World):
    world.start_platform()
    address = f"{HOST}:{free_port()}"
    world.start_daemon("d1", callers=address)
    world.wait_up()
    second = world.start_daemon("d2", callers=address)
    wait_for("the second daemon exits", lambda: second.popen.poll() is not None)
    assert second.popen.returncode == 1
    assert "Address already in use" in second.log.read_text()
