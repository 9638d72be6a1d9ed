#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The program itself is built as the deploy file says.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand-3 ./review/stand-3
