"""Registers and runs the cases, and formats their results."""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from importlib import import_module
from pathlib import Path
from tempfile import TemporaryDirectory

from aspensaddle.conformance.testbed import NotApplicableError, RequirementNotMetError, Testbed, TestbedSetup

# The cases are numbered in the order of this list, and in their order within each module.
CASE_MODULES = (
    "invariants",
    "handshakes",
    "client_hellos",
    "repeated_packets",
    "addresses",
    "retries",
    "ends",
    "protected_packets",
    "version2",
    "routable",
    "faults",
)
PASSED = "passed"
FAILED = "failed"
NOT_APPLICABLE = "not applicable"


@dataclass(frozen=True)
class Case:
    """One requirement: the section that states it, a paraphrase, and the function that checks it."""

    number: int
    section: str
    requirement: str
    setup: TestbedSetup
    run: Callable[[Testbed], None]
    slow: bool  # whether --quick skips the case

    @property
    def name(self) -> str:
        """The name of the function."""
        return self.run.__name__


@dataclass(frozen=True)
class Result:
    """The result of a case.

    `says` is its requirement, `why` explains a verdict other than passed, `seconds` is how long it took.
    """

    number: int
    section: str
    says: str
    name: str
    verdict: str
    why: str
    seconds: float


CASES: list[Case] = []


def case(
    section: str, requirement: str, setup: TestbedSetup | None = None, slow: bool = False
) -> Callable[[Callable[[Testbed], None]], Callable[[Testbed], None]]:
    """Return a decorator that registers a function as the next case."""

    def register(run: Callable[[Testbed], None]) -> Callable[[Testbed], None]:
        CASES.append(Case(len(CASES) + 1, section, requirement, setup or TestbedSetup(), run, slow))
        return run

    return register


def load_cases() -> list[Case]:
    """Return all cases; import their modules at the first call."""
    if not CASES:
        for name in CASE_MODULES:
            import_module(f"aspensaddle.conformance.cases.{name}")
    return CASES


def run(
    cases: Iterable[Case],
    memory: bool = False,
    seed: int = 0,
    jobs: int = 1,
    on_result: Callable[[Result], None] = lambda result: None,
) -> list[Result]:
    """Run cases and return the results by number.

    Cases with the same setup run one after the other on one testbed.

    Args:
        cases: the cases.
        memory: run the engine without sockets, in simulated time.
        seed: the seed of links and balancers.
        jobs: how many testbeds run at a time, each in a process of its own.
        on_result: receives each result as soon as it is known.
    """
    groups: dict[object, list[int]] = {}
    for member in cases:
        groups.setdefault(member.number if member.setup.exclusive else member.setup, []).append(member.number)
    results = []
    with ProcessPoolExecutor(jobs) as pool:
        for future in as_completed([pool.submit(_run_group, numbers, memory, seed) for numbers in groups.values()]):
            for result in future.result():
                on_result(result)
                results.append(result)
    return sorted(results, key=lambda finished: finished.number)


def _run_group(numbers: list[int], memory: bool, seed: int) -> list[Result]:
    """Run the cases with these numbers, which share a setup. Cases themselves cannot be passed between processes."""
    cases = [selected for selected in load_cases() if selected.number in numbers]
    return list(_run_on_testbed(cases[0].setup, cases, memory, seed))


def _run_on_testbed(setup: TestbedSetup, cases: list[Case], memory: bool, seed: int) -> Iterable[Result]:
    with TemporaryDirectory() as folder:
        testbed: Testbed | None = None
        for index, current in enumerate(cases):
            start = time.monotonic()
            verdict, why = PASSED, ""
            try:
                if testbed is None:
                    testbed = Testbed(setup, Path(folder) / str(index), memory, seed)
                testbed.begin_case()
                current.run(testbed)
                if internal_errors := testbed.counter_increase("internal_errors"):
                    raise RequirementNotMetError(f"{internal_errors} internal errors in the front end")
            except NotApplicableError as error:
                verdict, why = NOT_APPLICABLE, str(error)
            except RequirementNotMetError as error:
                verdict, why = FAILED, str(error)
            except Exception as error:
                verdict, why = FAILED, f"{error!r} at {traceback.extract_tb(error.__traceback__)[-1]}"
            finally:
                if testbed is not None:
                    testbed.finish_case()
            if verdict is FAILED and testbed is not None:
                testbed.close()  # a new testbed, so that the next cases do not fail because of this one
                testbed = None
            yield Result(
                current.number,
                current.section,
                current.requirement,
                current.name,
                verdict,
                why,
                round(time.monotonic() - start, 2),
            )
        if testbed is not None:
            testbed.close()


def format_table(results: list[Result]) -> str:
    """Return the results as text: one line per case, then the number of cases by verdict."""
    lines = [
        f"{result.number:4}  {result.section:18} {result.verdict:15} {result.says}"
        f"{f' ({result.why})' if result.why else ''}"
        for result in results
    ]
    counts = {known: sum(result.verdict == known for result in results) for known in (PASSED, FAILED, NOT_APPLICABLE)}
    lines.append(", ".join(f"{count} {verdict}" for verdict, count in counts.items()))
    return "\n".join(lines)


def as_json(results: list[Result]) -> list[dict[str, object]]:
    """Return the results as JSON values."""
    return [asdict(result) for result in results]
