"""The product's own request interface."""
