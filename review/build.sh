#!/bin/sh
# Compiles the stand-ins and the cases into target/review. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
