#!/usr/bin/env bash
# Compiles the stand-ins of the review into target/review; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
