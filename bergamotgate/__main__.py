"""Runs the command-line tool as ``python -m bergamotgate``."""

from bergamotgate.cli import main

main()
