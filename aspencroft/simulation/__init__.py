"""The daemons' code on a simulated loop, network and disk; campaigns, oracle, mutations."""
