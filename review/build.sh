#!/usr/bin/env bash
# Compiles the stand-ins of the cases with the JDK alone. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -Xlint:all -d review/target -cp "target/app/*" review/standin/*.java
