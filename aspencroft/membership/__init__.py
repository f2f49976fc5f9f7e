"""Cluster members, failure detection and the member table."""
