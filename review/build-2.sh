#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The store and the backend servers of
# platform/standin are linked into the program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/standin2 ./review/standin2
