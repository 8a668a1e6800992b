"""Runs all tests with unittest, except those listed in KNOWN-RED.txt, which it prints."""

import sys
import unittest
from pathlib import Path

from loguru import logger

ROOT = Path(__file__).resolve().parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Maps the name of each test listed in KNOWN-RED.txt to the reason for skipping it.

    The name follows ``test:`` at the start of a line.
    """
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    names = [line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")]
    return dict.fromkeys(names, "listed in KNOWN-RED.txt")


def each_test(suite: unittest.TestSuite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from each_test(item)
        else:
            yield item


def main() -> int:
    logger.remove()
    names = sys.argv[1:]
    loader = unittest.TestLoader()
    if names:
        found = loader.loadTestsFromNames(names)
    else:
        found = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    red = known_red()
    chosen = unittest.TestSuite(test for test in each_test(found) if test.id() not in red)
    result = unittest.TextTestRunner(verbosity=1).run(chosen)
    for name in red:
        print(f"KNOWN RED, not run: {name}")
    failed = len(result.failures) + len(result.errors)
    print(f"{result.testsRun - failed} passed, {failed} failed, {len(red)} skipped")
    return 0 if result.wasSuccessful() and result.testsRun else 1


sys.exit(main())
