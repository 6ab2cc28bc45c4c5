"""Specifications of the core protocols, for an explicit-state model checker."""
