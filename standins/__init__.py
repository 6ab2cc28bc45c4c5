"""Stand-ins for the outside systems: tools for tests, never the product."""
