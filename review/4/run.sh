#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the disruptions; TROUBLE=rot or TROUBLE=freeze: with one of them.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/comfreyentry ] && [ -x target/comfreyagent ] || exit 2
exec target/review-2 -case frozen -root . -record review/4/record.txt
