"""Stand-ins for external systems, for tests only; not part of the product."""
