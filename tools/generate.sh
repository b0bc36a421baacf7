#!/usr/bin/env bash
# Generates the Go code of the control messages from encoding/**/*.proto with
# protoc, which must be installed. The generated code is committed, so that a build
# needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go -C tools build -o "$plugins/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
for file in $(git ls-files --cached --others --exclude-standard 'encoding/*.proto'); do
  PATH="$plugins:$PATH" protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. "$file"
done
