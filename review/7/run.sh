#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
binary=../../target/src/skylarkbridge/skylarkbridge
trial=../kit-2/bin/late_start
if [ ! -x "$binary" ] || [ ! -x "$trial" ]; then
  echo "build the deploy file's program and run review/build-2.sh first" >&2
  exit 2
fi
exec "$trial" record.txt "$binary" "${TROUBLE:-1}"
