import pytest
from hypothesis import settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary  # noqa: F401 (hooks)
from standins import Deployment

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
