"""Bayglade routes requests for model pipelines over mixed accelerators.

The public surface is small: :func:`load_config` reads a daemon's own settings,
:func:`create_daemon` builds the daemon, and every error derives from
:class:`BaygladeError`.
"""

from bayglade.__version__ import __version__
from bayglade.config import Config, load_config
from bayglade.exceptions import BaygladeError

__all__ = ["BaygladeError", "Config", "__version__", "create_daemon", "load_config"]


def create_daemon(config: Config):  # type: ignore[no-untyped-def]
    """Build the entry daemon for a configuration, without starting it.

    The import is local so that command line programs do not load the daemon.

    :param config: the daemon's own settings.
    :return: a :class:`bayglade.daemon.Daemon`.
    """
    from bayglade import daemon

    return daemon.create_daemon(config)
