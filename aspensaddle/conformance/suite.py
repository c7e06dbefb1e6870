"""Runs cases and tells how they went."""

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

# Numbers follow this order and that of the cases in each.
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
    """One requirement: where it stands, what it says in our words, how it is asked."""

    number: int
    section: str
    says: str
    setup: TestbedSetup
    run: Callable[[Testbed], None]
    slow: bool  # left out of the quick part

    @property
    def name(self) -> str:
        return self.run.__name__


@dataclass(frozen=True)
class Result:
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
    """All cases there are."""
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
    """Run cases, those with the same bed one after the other on it, several beds at a time in processes."""
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
    """Cases by number, which have one bed: cases themselves don't pass between processes."""
    cases = [c for c in load() if c.number in numbers]
    return list(_on_one_bed(cases[0].setup, cases, memory, seed))


def _on_one_bed(setup: TestbedSetup, cases: list[Case], memory: bool, seed: int) -> Iterable[Result]:
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
    """The results as text, a line each, the counts at the end."""
    lines = [f"{r.number:4}  {r.section:18} {r.verdict:15} {r.says}{f' ({r.why})' if r.why else ''}" for r in results]
    counts = {v: sum(r.verdict == v for r in results) for v in (PASSED, FAILED, NOT_APPLICABLE)}
    lines.append(", ".join(f"{n} {v}" for v, n in counts.items()))
    return "\n".join(lines)


def as_json(results: list[Result]) -> list[dict[str, object]]:
    return [asdict(r) for r in results]
