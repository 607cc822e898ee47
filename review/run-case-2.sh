#!/usr/bin/env bash
# Runs the program NAME of a case, which writes its record to the folder of the case.
# Usage: run-case-2.sh FOLDER NAME
folder=$1
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/target/review-2/$2
cd "$root" || exit 2
if [ ! -x "$program" ] || [ ! -x target/Source/sesameproxy ]; then
    echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
timeout --kill-after=5 110 "$program" "$folder/record.txt"
code=$?
case $code in
0 | 1 | 2) exit $code ;;
*) exit 2 ;;
esac
