#!/usr/bin/env bash
# Builds the stand-ins of the third review. The programs of the deploy file are built by its own command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/standin3
