"""Checks of the platform's folder: it comes last on the path, as its name is also that of a standard module."""

import pathlib
import sys

PLATFORM = str(pathlib.Path(__file__).resolve().parents[2] / "platform")
if PLATFORM not in sys.path:
    sys.path.append(PLATFORM)
