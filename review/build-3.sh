#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15. It needs no network after the build
# of the deploy file: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin-3
