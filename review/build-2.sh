#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the deploy file's programs: the stand-ins in
# review/standins_2.py and review/samples_2.py. They need nothing but the standard library, so that
# they are only compiled.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/standins_2.py review/samples_2.py review/6/case.py review/7/case.py review/8/case.py \
  review/9/case.py review/10/case.py
[ -d target/deps/wisteriaplatform ] || {
  echo "target/deps is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
