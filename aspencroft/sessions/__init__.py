"""The session state machine: turns, budgets and operation keys."""
