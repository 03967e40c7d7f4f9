#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review. Run after the build of the deploy
# file, whose copy of Gson the stand-ins use.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
"$(bin/java-home)/bin/javac" -d target/review -cp "$(printf '%s\n' target/app/gson-*.jar)" \
  platform/src/test/java/org/mimosacleat/platform/standin/*.java
