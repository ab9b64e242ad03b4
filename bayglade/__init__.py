"""Bayglade routes requests for model pipelines over mixed accelerators.

Public API: :func:`load_config` reads a daemon's local settings, :func:`create_daemon`
creates the daemon, and all exceptions derive from :class:`BaygladeError`.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from bayglade.__version__ import __version__

if TYPE_CHECKING:
    from bayglade.config import Config, load_config
    from bayglade.exceptions import BaygladeError

__all__ = ["BaygladeError", "Config", "__version__", "create_daemon", "load_config"]

# Imported when first used: until a daemon has begun to run, any signal ends it.
_MODULES = {"BaygladeError": "exceptions", "Config": "config", "load_config": "config"}


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)


def create_daemon(config: "Config"):  # type: ignore[no-untyped-def]
    """Create an entry daemon from its settings, without starting it.

    The import is local so that commands don't load the daemon's modules.

    :param config: the daemon's local settings.
    :return: a :class:`bayglade.daemon.Daemon`.
    """
    from bayglade import daemon

    return daemon.create_daemon(config)
