import pytest
from hypothesis import settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary  # noqa: F401 (hooks)
from standins import World

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def world(tmp_path):
    """Makes a `World`; two runners that serve, unless told otherwise."""
    made = []

    def make(*answers, **config):
        made.append(World(tmp_path, *(answers or (b"UP r\r\n", b"UP r\r\n")), **config))
        return made[-1]

    yield make
    for w in made:
        w.close()
