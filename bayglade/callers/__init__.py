"""The callers: HTTP towards kiosks, handhelds, clinics and their programs."""

from bayglade.callers.api import Callers
from bayglade.callers.server import serve

__all__ = ["Callers", "serve"]
