#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/.out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .out
for Source in */case.cpp; do
  Number=${Source%%/*}
  Program=.out/case-$Number
  if [ "$Program" -nt "$Source" ] && [ "$Program" -nt World.h ] && [ "$Program" -nt SmallSystem.h ]; then continue; fi
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I . -o "$Program.new" "$Source"
  mv "$Program.new" "$Program"
done
