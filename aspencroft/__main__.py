"""``python -m aspencroft``: the same as the command ``aspencroft``."""

from aspencroft.cli import entry

if __name__ == "__main__":
    entry.main()
