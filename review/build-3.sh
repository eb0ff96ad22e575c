#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, from this repository alone: a copy of the project's
# stand-ins in target/review-3. The programs themselves are built by deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r packages/standins/src/wisteriastandins target/review-3/wisteriastandins
PYTHONPATH=target/deps:target/review-3 python3 -S -B -c 'import wisteriastandins.users.store_server'
