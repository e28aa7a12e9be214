#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/review-2. Needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/review2/*.java
