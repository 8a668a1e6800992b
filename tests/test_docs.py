"""Checks that the documentation covers all fields, reasons and metrics; runs example and CLI."""

import json
import re
import subprocess
import sys
from pathlib import Path

from click.testing import CliRunner

from bergamotgate.cli import main
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRunReason, UnknownReason
from tests.support import check, make_deployment, make_load_tests

ROOT = Path(__file__).resolve().parents[1]
FIELD = re.compile(r'\.(?:whole|share|flag|text|path|address|choice|names|raw|child)\(\s*"(\w+)"')


def read_page(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def fields_in(source: str) -> set[str]:
    return set(FIELD.findall((ROOT / "bergamotgate" / source).read_text()))


def test_tables_page_documents_every_field():
    text = read_page("TABLES.md")
    check.assertEqual(
        [], [n for n in sorted(fields_in("config/reader.py")) if f"`{n}`" not in text]
    )


def test_settings_page_documents_every_field():
    text = read_page("SETTINGS.md")
    names = fields_in("settings.py") | {"configuration_url", "vm_list_url"}
    check.assertEqual([], [name for name in sorted(names) if f"`{name}`" not in text])


def test_callers_page_documents_every_reason():
    text = read_page("CALLERS.md")
    reasons = [*NotRunReason, *UnknownReason]
    check.assertEqual([], [str(r) for r in reasons if f"`{r}`" not in text])


def test_operations_page_documents_every_metric():
    text = read_page("OPERATIONS.md")
    names = [family.name for family in Metrics().registry.collect()]
    check.assertEqual([], [name for name in names if f"`{name}`" not in text])


def test_embedding_example_runs():
    command = [sys.executable, str(ROOT / "examples" / "embed.py")]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60)
    check.assertEqual("", completed.stderr)
    check.assertRegex(completed.stdout, r"owner vm-\d\nextra sub-requests 15\nruns 1\nrevision 7\n")


def write_tables(folder: Path, deployment) -> str:
    folder.mkdir()
    (folder / "routes.jsonc").write_text(deployment.routes_text())
    (folder / "pools.jsonc").write_text(deployment.pools_text())
    return str(folder)


def run_command(*arguments: str):
    return CliRunner().invoke(main, list(arguments))


def test_check_command_accepts_valid_and_reports_invalid_tables():
    valid = run_command("check", str(ROOT / "examples" / "spokewise"))
    check.assertEqual(0, valid.exit_code)
    runner = CliRunner()
    with runner.isolated_filesystem():
        deployment = make_deployment()
        deployment.routes["routes"]["search"]["pool"] = "catalog"
        invalid = run_command("check", write_tables(Path("broken"), deployment), "--json")
    check.assertEqual(2, invalid.exit_code)
    check.assertEqual("routes.search.pool", json.loads(invalid.stdout)["problems"][0]["place"])


def test_plan_command_lists_changed_servers_zones_and_owners():
    with CliRunner().isolated_filesystem():
        deployment = make_deployment()
        old = write_tables(Path("old"), deployment)
        deployment.pools["zones"]["b"] = "out"
        new = write_tables(Path("new"), deployment)
        vms = [
            {"vm": f"vm-{n}", "zone": "abc"[n], "peer": f"10.0.0.{n + 1}:1", "http": "10.0.0.9:1"}
            for n in range(3)
        ]
        for number, vm in enumerate(vms):
            vm["http"] = f"10.0.0.{number + 1}:2"
        Path("vms.json").write_text(json.dumps({"vms": vms}))
        result = run_command("plan", old, new, "--vm-list", "vms.json", "--json")
    check.assertEqual(0, result.exit_code)
    changes = json.loads(result.stdout)
    check.assertEqual({"b": "comes"}, changes["zones"])
    check.assertTrue(
        all("/b/" in name or "vm-1" in what for name, what in changes["owners"].items())
    )
    check.assertEqual(5, len(changes["servers_stopping"]))


def test_explain_command_prints_the_rules_for_a_request():
    result = run_command("explain", str(ROOT / "examples" / "spokewise"), "post", "/stock/bookings")
    check.assertEqual(0, result.exit_code)
    check.assertRegex(result.stdout, r"repeatable +False")
    unknown = run_command("explain", str(ROOT / "examples" / "spokewise"), "GET", "/nowhere")
    check.assertEqual(3, unknown.exit_code)


def test_unreachable_fleet_has_its_own_exit_code():
    check.assertEqual(5, run_command("addresses", "--vm", "127.0.0.1:1").exit_code)
    check.assertEqual(5, run_command("status", "--vm", "127.0.0.1:1").exit_code)


load_tests = make_load_tests(globals())
