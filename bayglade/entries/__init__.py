"""The other entry daemons: streams between them, membership and what they share."""

from bayglade.entries.membership import Membership

__all__ = ["Membership"]
