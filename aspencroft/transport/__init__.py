"""Frames, message codec and connections between nodes."""
