#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec timeout --preserve-status -k 5 110 ../../.venv/bin/python -B play.py
