#!/bin/bash
# Builds what the scripts of review/6 to review/10 start besides the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
classes=target/review-2
rm -rf "$classes"
mkdir -p "$classes"
shopt -s nullglob
javac -d "$classes" review/harness-2/*.java review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
