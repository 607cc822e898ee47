#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" latestop
