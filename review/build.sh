#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/stand
