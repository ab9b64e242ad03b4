"""Version and metadata of the package."""

__title__ = "bayglade"
__description__ = "A router for model pipelines over mixed accelerators."
__version__ = "0.1.0"
__license__ = "Apache-2.0"
