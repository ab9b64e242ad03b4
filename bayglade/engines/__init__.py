"""Client for model engines: backend servers that each hold a range of a model's layers."""

from bayglade.engines.client import Engines, create_engines

__all__ = ["Engines", "create_engines"]
