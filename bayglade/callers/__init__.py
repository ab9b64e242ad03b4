"""The HTTP interface for callers: kiosks, handheld devices, clinics and their programs."""

from bayglade.callers.api import CallerApi
from bayglade.callers.server import serve

__all__ = ["CallerApi", "serve"]
