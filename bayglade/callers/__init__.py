"""The HTTP interface for callers: kiosks, handheld devices, clinics and their programs."""

from bayglade.callers.api import Callers
from bayglade.callers.server import serve

__all__ = ["Callers", "serve"]
