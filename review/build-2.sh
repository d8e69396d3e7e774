#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
