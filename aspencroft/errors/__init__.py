"""Numbered result codes and the exception that carries one."""
