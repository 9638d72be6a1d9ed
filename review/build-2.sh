#!/bin/sh
# Builds the stand-ins of the second review. The project's program is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/stand-2/...
