#!/usr/bin/env bash
# Runs one seed of the soak in which the programs of an earlier commit are replaced by the current ones.
# Passes over it, and says so, if the checkout does not have that commit: it may be shallow.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(cat test/soak/earlier-build.txt)
if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
  echo "soak beside an earlier build: passed over, this checkout does not have commit $commit"
  exit 0
fi
make soak OLD="$commit" SEED=1 SOAK_TIME=6s
