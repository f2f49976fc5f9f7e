"""Measured costs: clusters on a virtual clock, local processes, and parts of the product by size."""
