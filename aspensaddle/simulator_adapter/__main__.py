"""Entry point of the simulator adapter: `python -m aspensaddle.simulator_adapter`."""

import sys

from aspensaddle.simulator_adapter.host import main

sys.exit(main())
