#!/usr/bin/env bash
# Runs the case. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
for program in comfreyentry comfreyagent; do
  if [ ! -x "target/$program" ]; then
    echo "target/$program is missing; run the build line of deploy/system.toml first" >&2
    exit 2
  fi
done
review/build.sh || exit 2
exec target/review-rig -case removal -bin target -record "$here/record.txt"
