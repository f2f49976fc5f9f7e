"""Cluster membership: member entries, the member table and failure detection."""
