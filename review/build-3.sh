#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin-3
go build -o review/bin-3/kit-3 ./review/src-3
