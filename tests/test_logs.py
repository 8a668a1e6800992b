"""Tests for structured logs: rate limit, non-blocking writes and request timelines."""

import json
import os

from click.testing import CliRunner
from loguru import logger

from bergamotgate import cli
from bergamotgate.logs import BURST_LINES, RateLimitedLineWriter
from bergamotgate.timeline import build_timeline, read_log
from tests.support import check, make_load_tests


def write_lines(count: int, descriptor: int) -> RateLimitedLineWriter:
    writer = RateLimitedLineWriter(descriptor, "vm-1")
    sink_id = logger.add(writer.write, level="INFO", format="{message}", catch=False)
    logger.enable("tests")
    for number in range(count):
        logger.bind(id=f"r{number}").info("gateway: Request answered.")
    logger.remove(sink_id)
    return writer


def test_line_is_one_json_object_with_the_bound_fields():
    reading, writing = os.pipe()
    write_lines(1, writing)
    line = json.loads(os.read(reading, 4096))
    check.assertEqual(("vm-1", "r0"), (line["vm"], line["id"]))
    check.assertEqual("gateway: Request answered.", line["message"])
    os.close(reading)
    os.close(writing)


def test_excess_lines_are_dropped_and_counted():
    devnull = os.open(os.devnull, os.O_WRONLY)
    writer = write_lines(int(BURST_LINES) * 3, devnull)
    check.assertGreater(writer.dropped, BURST_LINES)
    os.close(devnull)


def test_stalled_reader_does_not_block_the_writer():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    logger.enable("tests")
    writer = RateLimitedLineWriter(writing, "vm-1")
    sink_id = logger.add(writer.write, level="INFO", format="{message}", catch=False)
    for _ in range(300):
        logger.bind(id="r", padding="p" * 1000).info("gateway: Request answered.")
    logger.remove(sink_id)
    check.assertGreater(writer.dropped, 0)
    os.set_blocking(reading, False)
    data = os.read(reading, 1 << 20)
    for line in data.split(b"\n")[:-1]:
        json.loads(line)
    os.close(reading)
    os.close(writing)


def test_line_that_cannot_be_written_does_not_fail_the_caller():
    """Guards against a log collector that ends, or a full disk, and takes a task along."""
    reading, closed_pipe = os.pipe()
    os.close(reading)
    full_disk = os.open("/dev/full", os.O_WRONLY)
    for descriptor in (closed_pipe, full_disk):
        writer = write_lines(3, descriptor)
        check.assertEqual(2, writer.dropped)
        os.close(descriptor)


LOG = [
    '{"at": 10.0, "vm": "vm-1", "message": "config: New.", "version": 7}',
    '  3.2 vm-1 {"at": 11.0, "vm": "vm-1", "message": "relay: Sub-request hedged.", "id": "r1"}',
    '{"at": 11.2, "vm": "vm-1", "message": "gateway: Answered.", "id": "r1", "took_ms": 300}',
    '{"at": 11.1, "vm": "vm-2", "message": "config: A new configuration is in force."}',
    '{"at": 11.1, "vm": "vm-1", "message": "gateway: Request answered.", "id": "r2"}',
    "a line that is no record",
    '{"at": 2.0, "vm": "vm-1", "message": "config: New.", "version": 6}',
]


def test_timeline_holds_the_request_and_earlier_local_view_changes():
    timeline = build_timeline("r1", read_log(LOG))
    check.assertEqual([10.0, 11.0, 11.2], [line.at for line in timeline])
    check.assertEqual([], build_timeline("r9", read_log(LOG)))


def test_explain_request_command_prints_the_timeline_or_fails():
    runner = CliRunner()
    with runner.isolated_filesystem():
        with open("vm-1.log", "w") as log:
            log.write("\n".join(LOG))
        result = runner.invoke(cli.main, ["explain-request", "r1", "vm-1.log"])
        check.assertEqual(0, result.exit_code, result.output)
        check.assertIn("relay: Sub-request hedged.", result.output)
        missing = runner.invoke(cli.main, ["explain-request", "r9", "vm-1.log"])
        check.assertEqual(cli.EXIT_INVALID_INPUT, missing.exit_code)


load_tests = make_load_tests(globals())
