"""Numbered result codes and the error that carries one."""
