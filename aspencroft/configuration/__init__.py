"""Operators' resources, routes and the control group's state machine."""
