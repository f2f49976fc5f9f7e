"""Configuration distribution: the dissemination tree and the lease on the configuration."""
