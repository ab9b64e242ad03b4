"""Plain services beside the model engines."""

from bayglade.services.client import Services, create_services

__all__ = ["Services", "create_services"]
