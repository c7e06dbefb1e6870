import pytest
from hypothesis import settings
from known_red import known_red
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


def pytest_collection_modifyitems(config, items):
    """Tests that are known to fail, by `KNOWN-RED.txt`: they have to, and are printed with their causes."""
    listed = known_red(config.rootpath / "KNOWN-RED.txt")
    # Only a whole collection can tell that a name is unknown; a test named on the command line is a part of one.
    whole = not config.option.keyword and not config.option.markexpr \
        and all(str(arg).rstrip("/") in ("tests", str(config.rootpath / "tests")) for arg in config.args)
    for name, cause in listed.items():
        found = [item for item in items if item.nodeid == name]
        if not found and whole:
            raise pytest.UsageError(f"KNOWN-RED.txt: no test {name}")
        for item in found:
            item.add_marker(pytest.mark.xfail(strict=True, reason=cause))
