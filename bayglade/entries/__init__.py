"""Communication with the other entry daemons: streams, membership and shared state."""

from bayglade.entries.membership import Membership

__all__ = ["Membership"]
