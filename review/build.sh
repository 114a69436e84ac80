#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/harness/*.java $(find review -path 'review/[0-9]/*.java')
