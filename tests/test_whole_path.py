"""The demo, run end to end with separate processes."""

from standins import demo


def test_the_demo_runs_to_its_end(capsys):
    demo.main()
    assert "every process is ended" in capsys.readouterr().out
