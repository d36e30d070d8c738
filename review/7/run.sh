#!/usr/bin/env bash
# Plays the case with the programs that deploy/build and review/build-2.sh have built. TROUBLE=0: without the disruption.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec java -Xmx256m -cp 'target/review-2:target/app/*' Names review/7
