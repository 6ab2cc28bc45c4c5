"""
Parser and runner for the scenario language of the tests.

Each line holds one statement, which starts a process, injects a fault, sends a request
or checks an expectation.
"""

from pathlib import Path
from typing import Any, NamedTuple, Protocol

from lark import Lark, Token, Transformer, UnexpectedInput

GRAMMAR = r"""
start: _NL* header (_NL+ statement)* _NL*
header: "runs" WORLD ("and" WORLD)*
statement: "start" "entry" NAME "in" NAME           -> start_entry
    | "restart" NAME                                -> restart
    | "stop" NAME                                   -> stop
    | "kill" NAME                                   -> kill
    | "pause" NAME                                  -> pause
    | "resume" NAME                                 -> resume
    | "cut" NAME "from" NAME                        -> cut
    | "heal" NAME "with" NAME                       -> heal
    | "outage"                                      -> outage
    | "recovery"                                    -> recovery
    | "delay" NUMBER                                -> delay
    | "lose" INT "answers"                          -> lose
    | "set" NAME "role" NAME                        -> set_role
    | "drain" NAME                                  -> drain
    | "return" NAME                                 -> restore
    | "race" NAME "role" NAME "against" NAME        -> race
    | "slow" NAME "to" NUMBER                       -> slow
    | "note" "started" "at" NAME                    -> note_started
    | "stranger" "submits" "to" NAME                -> stranger
    | "send" NAME "to" NAME "through" NAME ["key" NAME] ["tokens" INT] -> send
    | "pass" NUMBER                                 -> pass_time
    | "until" condition                             -> until
    | "expect" condition                            -> expect
condition: NAME OUTCOME ("or" OUTCOME)*             -> outcome
    | NAME "over"                                   -> over
    | NAME "has" INT "tokens"                       -> tokens
    | NAME "ran" NAME "at" "most" INT               -> ran_at_most
    | NAME "ran" NAME INT "times"                   -> ran
    | NAME "role" NAME                              -> role
    | NAME "under" "order"                          -> under_order
    | NAME "started" INT                            -> started
    | NAME "started" "no" "more"                    -> started_no_more
    | "orders" "at" NAME "never" "go" "back"        -> orders_in_order
    | "nothing" "was" "cut" "off" "at" NAME         -> nothing_cut
    | "version" INT "at" NAME                       -> version
    | "version" INT "everywhere"                    -> version_everywhere
    | NAME "reaches" NAME                           -> reaches
    | NAME "ended" "with" INT                       -> ended
    | NAME "lost" "the" "race"                      -> lost_race
WORLD: "virtual" | "real"
OUTCOME.2: "whole" | "refused" | "unknown" | "late"
NAME: /[a-z][a-z0-9-]*/
NUMBER: /[0-9]+(\.[0-9]+)?/
COMMENT: /#[^\n]*/
_NL: /\r?\n[ \t]*/
%import common.INT
%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""

_parser = Lark(GRAMMAR, parser="earley", propagate_positions=True)


class ScenarioError(Exception):
    """Raised for a line that cannot be parsed as a statement."""


class Condition(NamedTuple):
    """A condition that ``expect`` checks and ``until`` waits for."""

    kind: str
    arguments: list[Any]


class Statement(NamedTuple):
    """
    One statement of a scenario.

    :ivar verb: name of the method of :class:`World` that runs it.
    """

    verb: str
    arguments: list[Any]
    line: int


class Scenario(NamedTuple):
    """
    A parsed scenario.

    :ivar worlds: names of the worlds to run it in, ``virtual`` or ``real``.
    """

    path: str
    worlds: list[str]
    statements: list[Statement]


class World(Protocol):
    """
    Environment in which a scenario runs.

    Besides the methods below it has one for each verb, which :func:`run` looks up by
    name.
    """

    def check(self, condition: Condition) -> bool: ...

    def wait_for(self, condition: Condition) -> bool: ...


class _StatementBuilder(Transformer):
    """Builds statements from the parse tree."""

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Any:
        values = [_token_value(child) for child in children]
        if data == "header":
            return values
        if data == "start":
            return values[0], values[1:]
        matching_rules = {rule for rule in CONDITIONS if rule == data}
        if matching_rules:
            return Condition(str(data), values)
        return Statement(str(data), values, meta.line)


CONDITIONS = {
    "outcome",
    "over",
    "tokens",
    "ran_at_most",
    "ran",
    "role",
    "under_order",
    "started",
    "started_no_more",
    "orders_in_order",
    "nothing_cut",
    "version",
    "version_everywhere",
    "reaches",
    "ended",
    "lost_race",
}


def _token_value(child: Any) -> Any:
    if isinstance(child, Token):
        if child.type == "INT":
            return int(child)
        return float(child) if child.type == "NUMBER" else str(child)
    return child


def parse(text: str, path: str) -> Scenario:
    """
    Parse a scenario.

    :raises ScenarioError: if a line is no statement; names the line and the expected
        tokens.
    """
    try:
        tree = _parser.parse(text.strip("\n") + "\n")
    except UnexpectedInput as error:
        expected_tokens = sorted(getattr(error, "allowed", None) or error.expected)  # type: ignore
        line = error.line if error.line > 0 else text.count("\n") + 1
        raise ScenarioError(
            f"{path}:{line}: expected {' or '.join(expected_tokens)}"
        ) from None
    worlds, statements = _StatementBuilder().transform(tree)
    return Scenario(path, worlds, statements)


def load(path: Path) -> Scenario:
    return parse(path.read_text(), path.name)


def run(scenario: Scenario, world: World) -> None:
    """
    Run every statement in order.

    :raises AssertionError: if an expectation is not met; names the file and line.
    """
    for statement in scenario.statements:
        location = f"{scenario.path}:{statement.line}"
        if statement.verb == "expect":
            assert world.check(statement.arguments[0]), f"{location}: {statement}"
        elif statement.verb == "until":
            assert world.wait_for(statement.arguments[0]), f"{location}: {statement}"
        else:
            getattr(world, statement.verb)(*statement.arguments)
