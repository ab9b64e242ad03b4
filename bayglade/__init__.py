"""Bayglade routes requests for model pipelines over mixed accelerators.

Public API: :func:`load_config` reads a daemon's local settings, :func:`create_daemon`
creates the daemon, and all exceptions derive from :class:`BaygladeError`.
"""

from bayglade.__version__ import __version__
from bayglade.config import Config, load_config
from bayglade.exceptions import BaygladeError

__all__ = ["BaygladeError", "Config", "__version__", "create_daemon", "load_config"]


def create_daemon(config: Config):  # type: ignore[no-untyped-def]
    """Create an entry daemon from its settings, without starting it.

    The import is local so that commands don't load the daemon's modules.

    :param config: the daemon's local settings.
    :return: a :class:`bayglade.daemon.Daemon`.
    """
    from bayglade import daemon

    return daemon.create_daemon(config)
