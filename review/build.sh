#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers "$source" \
    -o "target/review/$(basename "$source" .cpp)" -ljansson -pthread
done
