#!/usr/bin/env bash
# Builds the cases of the second review and their stand-ins in target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Ireview/fleet-2"
g++ $flags -c review/fleet-2/fleet.cpp -o "$out/fleet.o"
for case in review/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ $flags "$case" "$out/fleet.o" -o "$out/case-$number" -pthread
done
