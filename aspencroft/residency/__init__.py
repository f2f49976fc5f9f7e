"""Which models and adapters workers keep in memory."""
