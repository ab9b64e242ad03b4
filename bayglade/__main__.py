"""Runs the program as ``python -m bayglade``."""

from bayglade.cli import main

if __name__ == "__main__":
    main()
