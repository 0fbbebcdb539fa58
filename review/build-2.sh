#!/bin/sh
# Builds the stand-ins of the second review into review/bin-2. The project itself is built by the command of
# deploy/system.toml. Nothing is fetched: the stand-ins use the standard library only.
set -e
cd "$(dirname "$0")/src-2"
mkdir -p ../bin-2
GOFLAGS="${GOFLAGS:--buildvcs=false}" GOPROXY=off go build -o ../bin-2/review-2 .
