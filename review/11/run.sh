#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; writes record.txt beside itself.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:target/review-3:review exec python3 -S review/11/run.py
