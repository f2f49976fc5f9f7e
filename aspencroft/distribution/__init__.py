"""The dissemination tree and the lease on the configuration."""
