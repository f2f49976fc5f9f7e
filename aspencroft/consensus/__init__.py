"""Witnesses, ballots, leases and the replica-set record."""
