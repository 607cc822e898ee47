#!/usr/bin/env bash
# Usage: run-case.sh CASE-FOLDER PROGRAM [ARGUMENT...]
# Runs a stand-in program of a case, which starts the nodes with the command of the deploy file and
# writes record.txt. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
program=$root/target/review/$2
shift 2
[ -x "$program" ] && [ -x "$root/target/Source/sesameproxy" ] || exit 2
cd "$root" || exit 2
export REVIEW_RECORD=$folder/record.txt REVIEW_PROGRAM=target/Source/sesameproxy
"$program" "$@"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
