#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-removed-member ] && [ -x target/release/curranthollow-platform ] || exit 2
exec target/review/case-removed-member review/1
