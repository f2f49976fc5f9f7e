"""Operators' resources, route tables and the state machine of the control group."""
