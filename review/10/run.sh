#!/usr/bin/env bash
# Plays the case on loopback addresses; exit 1: the rule was broken, 0: it held, 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/10/case.py
