"""Entry point of `python -m lagoonfold_node`."""

from lagoonfold_node import main

if __name__ == "__main__":
    main()
