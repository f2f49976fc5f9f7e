"""A serving tier for agent programs."""
