"""Tools around the product: demo, bench, experiments, generated docs."""
