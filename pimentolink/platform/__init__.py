"""Adapters for the users' platform: its API, headers, documents and store."""
