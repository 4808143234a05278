#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The build of the deploy file builds the programs.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
