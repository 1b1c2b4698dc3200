#!/usr/bin/env bash
# Builds the program that runs the scripted cases. The programs under review come from
# the build of the deploy file, in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/stand ./review/stand
