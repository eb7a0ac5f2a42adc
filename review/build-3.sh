#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts in review/11 to review/15, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/driver.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/fleet-3 "$source" review/fleet-3/fleet.cpp \
    -o "target/review-3/case-$number" -pthread
done
