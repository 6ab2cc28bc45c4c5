"""Specifications of the core protocols, checked state by state."""
