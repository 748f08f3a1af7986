"""Runs the command line as ``python3 -m currantmast``."""

from currantmast.commands import main

if __name__ == '__main__':
    main()
