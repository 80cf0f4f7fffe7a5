"""Version of the package, read by the build and by both programs."""

__all__ = ["__version__"]

__version__ = "0.1.0"
