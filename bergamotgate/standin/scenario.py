"""Parses scenario files, which describe a fleet, its load, its faults and the expectations."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import LarkError

from bergamotgate.errors import BergamotgateError
from bergamotgate.standin.deployments import SHARDED_CONNECT_S, UNSHARDED_CONNECT_S, PoolSpec

__all__ = ["Action", "Expectation", "Load", "Scenario", "ScenarioError", "read_scenario"]

GRAMMAR = Path(__file__).with_name("scenario.lark")
ALL_ZONES = "abcdef"


class ScenarioError(BergamotgateError):
    """A scenario cannot be parsed.

    Attributes:
        cause: Position and reason of the parse error.
    """

    def __init__(self, cause: object):
        super().__init__(f"cannot parse scenario: {cause}")
        self.cause = cause


@dataclass(frozen=True)
class Load:
    """Requests sent at a constant rate.

    Attributes:
        route: Name of the route.
        per_second: Requests per second.
        start: Start in seconds after the start of the load phase.
        end: End in seconds after the start of the load phase.
    """

    route: str
    per_second: float
    start: float
    end: float


@dataclass(frozen=True)
class Action:
    """A fault or operation at a fixed time.

    Attributes:
        at: Time in seconds after the start of the load phase.
        kind: Name of the action in the grammar; the runner implements it as ``_do_<kind>``.
        arguments: Arguments of the action.
    """

    at: float
    kind: str
    arguments: tuple


@dataclass(frozen=True)
class Expectation:
    """A bound on a measured quantity.

    Attributes:
        metric: Name of the quantity.
        comparison: ``<=``, ``>=`` or ``=``.
        bound: The value to compare with.
        route: Counts only requests of this route; empty for all routes.
        start: Counts only requests sent at or after this second.
        end: Counts only requests sent before this second.
    """

    metric: str
    comparison: str
    bound: float
    route: str = ""
    start: float = 0.0
    end: float = float("inf")

    def holds(self, value: float) -> bool:
        """Whether a value satisfies the comparison."""
        if self.comparison == "<=":
            return value <= self.bound
        if self.comparison == ">=":
            return value >= self.bound
        return value == self.bound

    def __str__(self) -> str:
        span = f" from {self.start:g} s to {self.end:g} s" if self.end < float("inf") else ""
        route = f" of {self.route}" if self.route else ""
        return f"{self.metric} {self.comparison} {self.bound:g}{route}{span}"


@dataclass
class Scenario:
    """A parsed scenario.

    Attributes:
        vms: Number of VMs.
        zones: Availability zones.
        tables: Example deployment whose tables are used; empty to build them from ``pools``.
        pools: Sizes of the pools.
        service_s_by_pool: Service times in seconds that override the default.
        class_options: Fields that override the default request classes, by class name.
        loads: Request loads.
        actions: Faults and operations.
        expectations: Bounds that the measured quantities must satisfy.
    """

    vms: int = 6
    zones: tuple[str, ...] = ("a", "b", "c")
    tables: str = ""
    pools: list[PoolSpec] = field(default_factory=list)
    service_s_by_pool: dict[str, float] = field(default_factory=dict)
    class_options: dict[str, dict[str, Any]] = field(default_factory=dict)
    loads: list[Load] = field(default_factory=list)
    actions: list[Action] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)

    @property
    def end(self) -> float:
        """Time in seconds at which the last load has ended and the last action has started."""
        ends = [load.end for load in self.loads] + [action.at for action in self.actions]
        return max(ends, default=0.0)


def read_scenario(text: str) -> Scenario:
    """Parse a scenario.

    Raises:
        ScenarioError: The text does not match the grammar.
    """
    parser = Lark(GRAMMAR.read_text(), parser="lalr", maybe_placeholders=True)
    try:
        tree = parser.parse(text.strip() + "\n")
        return _Builder().transform(tree)
    except LarkError as error:
        raise ScenarioError(error) from error


def _to_python(value: Any) -> Any:
    if isinstance(value, Token):
        return int(value) if value.type == "INT" else str(value)
    return value


class _Builder(Transformer):
    """Builds a scenario from the parse tree; methods are named after grammar rules."""

    def __init__(self) -> None:
        super().__init__()
        self._scenario = Scenario()

    def start(self, children: list) -> Scenario:
        return self._scenario

    def fleet(self, children: list) -> None:
        self._scenario.vms = int(children[0])
        if children[1] is not None:
            self._scenario.zones = tuple(ALL_ZONES[: int(children[1])])

    def tables(self, children: list) -> None:
        self._scenario.tables = str(children[0])

    def pool(self, children: list) -> None:
        name, shards, replicas, slots, connections, snapshots, takes_ms = children
        if takes_ms is not None:
            self._scenario.service_s_by_pool[str(name)] = float(takes_ms) / 1000
        sharded = int(shards) > 0
        self._scenario.pools.append(
            PoolSpec(
                str(name),
                int(shards),
                int(replicas),
                int(slots),
                int(connections),
                SHARDED_CONNECT_S if sharded else UNSHARDED_CONNECT_S,
                snapshots or ("s1",),
            )
        )

    def snapshots(self, children: list) -> tuple[str, ...]:
        return tuple(map(str, children))

    def class_option(self, children: list) -> None:
        options = self._scenario.class_options.setdefault(str(children[0]), {})
        options.update(dict(children[1:]))

    def option(self, children: list) -> tuple[str, Any]:
        return str(children[0]), children[1]

    def number(self, children: list) -> float | int:
        number = float(children[0])
        return int(number) if number.is_integer() else number

    def word(self, children: list) -> str | bool:
        return {"yes": True, "no": False}.get(str(children[0]), str(children[0]))

    def load(self, children: list) -> None:
        name, rate, start, end = children
        self._scenario.loads.append(Load(str(name), float(rate), start, end))

    def event(self, children: list) -> None:
        at, (kind, arguments) = children
        self._scenario.actions.append(Action(at, kind, arguments))

    def expect(self, children: list) -> None:
        metric, comparison, bound, route, start, end = children
        span = (start, end) if end is not None else ()
        self._scenario.expectations.append(
            Expectation(str(metric), str(comparison), float(bound), str(route or ""), *span)
        )

    def zones(self, children: list) -> tuple[str, ...]:
        return tuple(map(str, children))

    def time(self, children: list) -> float:
        return float(children[0])

    def __default__(self, data: str, children: list, meta: Any) -> tuple[str, tuple]:
        return str(data), tuple(map(_to_python, children))
