import pytest
from hypothesis import settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary  # noqa: F401 (hooks)
from standins import Deployment

from aspensaddle.conformance.testbed import Testbed, TestbedSetup

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def deploy(tmp_path):
    """Return a function that makes a `Deployment`, by default with two servers that accept every request."""
    deployments = []

    def make(*responses, **config):
        deployments.append(Deployment(tmp_path, *(responses or (b"UP r\r\n", b"UP r\r\n")), **config))
        return deployments[-1]

    yield make
    for deployment in deployments:
        deployment.close()


@pytest.fixture
def create_testbed(tmp_path):
    """Creates testbeds with the engine in memory; the arguments are those of `TestbedSetup`."""
    testbeds = []

    def create(**setup):
        testbeds.append(Testbed(TestbedSetup(**setup), tmp_path / str(len(testbeds)), memory=True))
        testbeds[-1].begin_case()
        return testbeds[-1]

    yield create
    for testbed in testbeds:
        testbed.close()
