#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 in target/review-2/. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/standins-2/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "$out/$(basename "$source" .cpp)" &
done
for job in $(jobs -p); do
    wait "$job"
done
