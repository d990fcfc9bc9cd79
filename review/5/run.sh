#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/monsoonmoor ] && [ -x out/review-standin ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
exec out/review-standin -case restart -record "$here/record.txt"
