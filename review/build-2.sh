#!/bin/sh
# Builds the programs that the scripts of the second review start, beside the daemon.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig2
