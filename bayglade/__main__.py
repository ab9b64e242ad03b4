"""Entry point of ``python -m bayglade``."""

from bayglade.cli import main

if __name__ == "__main__":
    main()
