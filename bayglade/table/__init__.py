"""Client for the platform service: its table, object store and host list."""

from bayglade.table.client import Platform, create_platform

__all__ = ["Platform", "create_platform"]
