"""Adapter of the platform: translates between its wire formats and Bayglade's own types.

It makes no routing decisions.
"""

from pathlib import Path

from bayglade.platform.calls import create_dialect
from bayglade.platform.documents import (
    DOCUMENT_KEY,
    OPERATOR_TABLE,
    SERVERS_TABLE,
    decode_document,
    decode_server,
)
from bayglade.platform.engines import ControlClient, decode_report
from bayglade.platform.store import MEMBERS_TABLE, Store

__all__ = [
    "DOCUMENT_KEY",
    "MEMBERS_TABLE",
    "OPERATOR_TABLE",
    "READY_PATH",
    "SERVERS_TABLE",
    "SETTINGS_VARIABLE",
    "ControlClient",
    "Store",
    "create_dialect",
    "decode_document",
    "decode_report",
    "decode_server",
    "settings_path",
]

SETTINGS_VARIABLE = "BAYGLADE_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/bayglade/boot.conf"
READY_PATH = b"/api/ready"


def settings_path(environment: dict[str, str]) -> Path:
    """Return the path of the settings file that the platform writes for this process.

    :param environment: the environment variables of the process.
    """
    return Path(environment.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH))
