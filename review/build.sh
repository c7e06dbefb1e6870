#!/bin/sh
# Builds what the cases start. All stand-ins are Python modules that need the packages of the deploy file's build and no
# others, so this only checks that each of them loads: those of the review, of the tests and of the conformance suite.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=.:review:tests .venv/bin/python -B -c '
import standins
import support.processes, support.quic, support.record
import aspensaddle.__main__, aspensaddle.store.__main__
from aspensaddle.conformance.server_certificate import server_configuration
server_configuration()
print("all stand-ins load")
'
