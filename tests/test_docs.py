"""The pages tell what the code does: fields, reasons, metrics, the example and the tool."""

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


def page(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def fields_in(source: str) -> set[str]:
    return set(FIELD.findall((ROOT / "bergamotgate" / source).read_text()))


def test_every_field_of_the_tables_is_on_its_page():
    text = page("TABLES.md")
    check.assertEqual(
        [], [n for n in sorted(fields_in("config/reader.py")) if f"`{n}`" not in text]
    )


def test_every_field_of_the_settings_is_on_its_page():
    text = page("SETTINGS.md")
    names = fields_in("settings.py") | {"configuration_url", "vm_list_url"}
    check.assertEqual([], [name for name in sorted(names) if f"`{name}`" not in text])


def test_every_reason_is_on_the_callers_page():
    text = page("CALLERS.md")
    reasons = [*NotRunReason, *UnknownReason]
    check.assertEqual([], [str(r) for r in reasons if f"`{r}`" not in text])


def test_every_metric_is_on_the_operators_page():
    text = page("OPERATIONS.md")
    names = [family.name for family in Metrics().registry.collect()]
    check.assertEqual([], [name for name in names if f"`{name}`" not in text])


def test_the_embedding_example_runs():
    command = [sys.executable, str(ROOT / "examples" / "embed.py")]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60)
    check.assertEqual("", ended.stderr)
    check.assertRegex(ended.stdout, r"owner vm-\d\nextra sub-requests 15\nruns 1\nrevision 7\n")


def write_tables(folder: Path, deployment) -> str:
    folder.mkdir()
    (folder / "routes.jsonc").write_text(deployment.routes_text())
    (folder / "pools.jsonc").write_text(deployment.pools_text())
    return str(folder)


def run(*arguments: str):
    return CliRunner().invoke(main, list(arguments))


def test_check_shows_good_and_broken_tables():
    good = run("check", str(ROOT / "examples" / "spokewise"))
    check.assertEqual(0, good.exit_code)
    runner = CliRunner()
    with runner.isolated_filesystem():
        deployment = make_deployment()
        deployment.routes["routes"]["search"]["pool"] = "catalog"
        broken = run("check", write_tables(Path("broken"), deployment), "--json")
    check.assertEqual(2, broken.exit_code)
    check.assertEqual("routes.search.pool", json.loads(broken.stdout)["problems"][0]["place"])


def test_plan_shows_servers_zones_and_owners():
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
        planned = run("plan", old, new, "--vm-list", "vms.json", "--json")
    check.assertEqual(0, planned.exit_code)
    changes = json.loads(planned.stdout)
    check.assertEqual({"b": "comes"}, changes["zones"])
    check.assertTrue(
        all("/b/" in name or "vm-1" in what for name, what in changes["owners"].items())
    )
    check.assertEqual(5, len(changes["servers_stopping"]))


def test_explain_shows_the_rules_of_a_request():
    explained = run("explain", str(ROOT / "examples" / "spokewise"), "post", "/stock/bookings")
    check.assertEqual(0, explained.exit_code)
    check.assertRegex(explained.stdout, r"repeatable +False")
    unknown = run("explain", str(ROOT / "examples" / "spokewise"), "GET", "/nowhere")
    check.assertEqual(3, unknown.exit_code)


def test_a_fleet_that_does_not_answer_has_its_own_status():
    check.assertEqual(5, run("addresses", "--vm", "127.0.0.1:1").exit_code)
    check.assertEqual(5, run("status", "--vm", "127.0.0.1:1").exit_code)


load_tests = make_load_tests(globals())
