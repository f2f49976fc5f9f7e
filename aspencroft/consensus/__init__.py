"""Paxos voters (witnesses) and proposers: ballots, leases, voter sets, and the replica sets that they choose."""
