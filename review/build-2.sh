#!/bin/sh
# Builds what the scripts of the second review start besides the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -C review/rig-2 -o ../../target/review-2 .
