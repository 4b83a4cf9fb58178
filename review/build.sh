#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the review cases into review/out. Needs only the JDK of the project's build.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -encoding UTF-8 -d out src/*.java
