#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -C review/rig -o ../../target/review-rig .
