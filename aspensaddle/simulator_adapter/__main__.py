import sys

from aspensaddle.simulator_adapter.host import main

sys.exit(main())
