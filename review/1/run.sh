#!/usr/bin/env bash
# Runs the case; see claim.txt. With TROUBLE=0 it does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
Program=review/.out/case-1
[ -x "$Program" ] || { echo "run review/build.sh first"; exit 2; }
[ -x target/cicadawind-proxy ] || { echo "build the deploy file first"; exit 2; }
TROUBLE=${TROUBLE:-1} exec "$Program" target/cicadawind-proxy review/1/record.txt
