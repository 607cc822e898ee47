#!/usr/bin/env bash
# Runs the case program NAME and writes record.txt to FOLDER. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run.
# Usage: review/run-case-3.sh NAME FOLDER
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
program=target/review-3/$1
if [ ! -x "$program" ] || [ ! -x target/Source/sesameproxy ]; then
  echo "build the deploy file's target first, then run review/build-3.sh" >&2
  exit 2
fi
# The nodes end with the program, which is their parent.
timeout -k 2 115 "$program" "$folder/record.txt"
result=$?
[ "$result" -le 2 ] || result=2
tail -n 1 "$folder/record.txt"
exit "$result"
