#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption. Exit codes: 1 broken, 0 held, 2 could not run.
set -u
Here=$(cd "$(dirname "$0")" && pwd)
cd "$Here/../.." || exit 2
Case=target/review-2/case-$(basename "$Here")
[ -x "$Case" ] && [ -x target/cicadawind-proxy ] || exit 2
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 5 110 "$Case" "$Folder" "$Here/record.txt"
Code=$?
case $Code in 0|1) ;; *) Code=2 ;; esac
exit $Code
