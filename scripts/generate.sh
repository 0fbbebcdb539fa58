#!/usr/bin/env bash
# Generates the Go code of the .proto file and records the checksums that make check compares.
# Needs protoc (Debian package protobuf-compiler); the plugins are Go tools of this module.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$plugins:$PATH" protoc -I proto \
  --go_out=. --go_opt=module=github.com/jackdawlane/jackdawlane \
  --connect-go_out=. --connect-go_opt=module=github.com/jackdawlane/jackdawlane,simple \
  proto/jackdawlane/v1/control.proto
sha256sum proto/jackdawlane/v1/*.proto $(find gen -name '*.go' | sort) > gen/checksums.txt
