"""Runs cases and reports their results."""

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

# Cases are numbered in this order, and in that of each file.
FILES = (
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
PASSED, FAILED, NOT_APPLICABLE = "passed", "failed", "not applicable"


@dataclass(frozen=True)
class Case:
    """One requirement: the section that states it, a paraphrase, and the function that checks it."""

    number: int
    section: str
    says: str
    setup: TestbedSetup
    run: Callable[[Testbed], None]
    slow: bool  # left out of the quick part

    @property
    def name(self) -> str:
        """The name of its function."""
        return self.run.__name__


@dataclass(frozen=True)
class Result:
    """The result of a case. `why` explains a verdict other than passed; `seconds` is how long it took."""

    number: int
    section: str
    says: str
    name: str
    verdict: str
    why: str
    seconds: float


CASES: list[Case] = []


def case(
    section: str, says: str, setup: TestbedSetup | None = None, slow: bool = False
) -> Callable[[Callable[[Testbed], None]], Callable[[Testbed], None]]:
    """Register a case. Numbers follow the order of the files and of the cases in them."""

    def register(run: Callable[[Testbed], None]) -> Callable[[Testbed], None]:
        CASES.append(Case(len(CASES) + 1, section, says, setup or TestbedSetup(), run, slow))
        return run

    return register


def load() -> list[Case]:
    """Return all cases."""
    if not CASES:
        for name in FILES:
            import_module(f"aspensaddle.conformance.cases.{name}")
    return CASES


def run(
    chosen: Iterable[Case],
    memory: bool = False,
    seed: int = 0,
    jobs: int = 1,
    told: Callable[[Result], None] = lambda result: None,
) -> list[Result]:
    """Run cases and return the results by number.

    Cases with the same setup run one after the other on one testbed; `jobs` testbeds run at a time, in processes.
    `told` gets each result as it comes.
    """
    groups: dict[object, list[int]] = {}
    for c in chosen:
        groups.setdefault(c.number if c.setup.alone else c.setup, []).append(c.number)
    results = []
    with ProcessPoolExecutor(jobs) as pool:
        for future in as_completed([pool.submit(_group, numbers, memory, seed) for numbers in groups.values()]):
            for result in future.result():
                told(result)
                results.append(result)
    return sorted(results, key=lambda r: r.number)


def _group(numbers: list[int], memory: bool, seed: int) -> list[Result]:
    """Run the cases of these numbers, which share a setup. Cases themselves cannot pass between processes."""
    cases = [c for c in load() if c.number in numbers]
    return list(_on_one_testbed(cases[0].setup, cases, memory, seed))


def _on_one_testbed(setup: TestbedSetup, cases: list[Case], memory: bool, seed: int) -> Iterable[Result]:
    with TemporaryDirectory() as folder:
        testbed: Testbed | None = None
        for n, c in enumerate(cases):
            start = time.monotonic()
            verdict, why = PASSED, ""
            try:
                if testbed is None:
                    testbed = Testbed(setup, Path(folder) / str(n), memory, seed)
                testbed.begin_case()
                c.run(testbed)
                if faults := testbed.counted("internal_errors"):
                    raise RequirementNotMetError(f"{faults} faults in the front")
            except NotApplicableError as e:
                verdict, why = NOT_APPLICABLE, str(e)
            except RequirementNotMetError as e:
                verdict, why = FAILED, str(e)
            except Exception as e:
                verdict, why = FAILED, f"{e!r} at {traceback.extract_tb(e.__traceback__)[-1]}"
            finally:
                if testbed is not None:
                    testbed.finish_case()
            if verdict is FAILED and testbed is not None:
                testbed.close()  # what it left must not fail the next
                testbed = None
            yield Result(c.number, c.section, c.says, c.name, verdict, why, round(time.monotonic() - start, 2))
        if testbed is not None:
            testbed.close()


def table(results: list[Result]) -> str:
    """Return the results as text: a line each, then the counts."""
    lines = [f"{r.number:4}  {r.section:18} {r.verdict:15} {r.says}{f' ({r.why})' if r.why else ''}" for r in results]
    counts = {v: sum(r.verdict == v for r in results) for v in (PASSED, FAILED, NOT_APPLICABLE)}
    lines.append(", ".join(f"{n} {v}" for v, n in counts.items()))
    return "\n".join(lines)


def as_json(results: list[Result]) -> list[dict[str, object]]:
    """Return the results as JSON values."""
    return [asdict(r) for r in results]
