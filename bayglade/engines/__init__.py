"""Model engines: backend servers that hold a range of layers."""

from bayglade.engines.client import Engines, create_engines

__all__ = ["Engines", "create_engines"]
