#!/usr/bin/env bash
# Builds the platform's programs of a commit of this repository: build-commit.sh COMMIT FOLDER.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# = 2 ] || { echo "usage: build-commit.sh COMMIT FOLDER" >&2; exit 2; }
mkdir -p "$2"
folder=$(cd "$2" && pwd)
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
git archive "$1" | tar -x -C "$sources"
cd "$sources"
go build -o "$folder/" ./cmd/chicory-entry ./cmd/chicory-keeper
