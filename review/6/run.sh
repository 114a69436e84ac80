#!/bin/bash
# Exits with 1 if MIXED was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the crash out.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 java -cp target/review-2 CutAnswer review/6
