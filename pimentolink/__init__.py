"""Serving system for a fixed fleet whose prompt-to-output mix shifts."""

__version__ = "0.1.0"
