"""Client for plain HTTP services, which the router calls besides the model engines."""

from bayglade.services.client import Services, create_services

__all__ = ["Services", "create_services"]
