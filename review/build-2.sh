#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: the store, the replicas
# and the clients, all in one program. It needs the Go toolchain alone.
set -eu
cd "$(dirname "$0")/rig2"
GOWORK=off GOPROXY=off GOFLAGS=-buildvcs=false go build -o ../bin/rig2 .
