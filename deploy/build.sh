#!/bin/sh
# Builds target/deps: the libraries when their list, the Python or the kind of machine has changed,
# the sources when any of them has.
set -eu
umask 022
cd "$(dirname "$0")/.."
mkdir -p target
# Compiled libraries fit one version of Python and one kind of machine only.
{
  python3 -c 'import sys, sysconfig
print("#", sys.implementation.cache_tag, sysconfig.get_platform())'
  cat deploy/requirements.txt
} > target/requirements.new
can_import() {
  PYTHONPATH=target/deps python3 -S -c 'import httptools, prometheus_client' 2> target/import.log
}
if ! cmp -s target/requirements.new target/requirements.stamp || ! can_import; then
  rm -rf target/deps target/sources.stamp target/requirements.stamp
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  if ! can_import; then
    cat target/import.log >&2
    exit 1
  fi
  mv target/requirements.new target/requirements.stamp
fi
sources="packages/wisteriarock/src/wisteriarock platform/wisteriaplatform"
# The list of files is compared as well, so that removed files are noticed.
find $sources -name '*.py' -exec cksum {} + | sort > target/sources.new
if cmp -s target/sources.new target/sources.stamp &&
  [ -d target/deps/wisteriarock ] && [ -d target/deps/wisteriaplatform ]; then
  exit 0
fi
# Running processes import from target/deps, so each package is replaced in one step.
for source in $sources; do
  name=$(basename "$source")
  rm -rf "target/$name.new" "target/$name.old"
  cp -r "$source" "target/$name.new"
  [ ! -e "target/deps/$name" ] || mv "target/deps/$name" "target/$name.old"
  mv "target/$name.new" "target/deps/$name"
  rm -rf "target/$name.old"
done
python3 -m compileall -q target/deps
mv target/sources.new target/sources.stamp
