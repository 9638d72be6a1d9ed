#!/bin/sh
# Generates peer.pb.go and peer_drpc.pb.go with the module's own plugins.
set -eu
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$plugins/protoc-gen-go-drpc" storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$plugins:$PATH" protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peer.proto
