"""Single-holder tasks and their epochs."""
