#!/bin/bash
# Exits with 1 if TWICE was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the cold and the slow moments out.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 java -cp target/review-2 SlowWhileCold review/7
