#!/bin/sh
# Builds the stand-ins of the scripts: the store, the replicas, the clients and the
# platform, all in one program. It needs the Go toolchain alone.
set -e
cd "$(dirname "$0")/rig"
GOWORK=off GOPROXY=off GOFLAGS=-buildvcs=false go build -o ../bin/rig .
