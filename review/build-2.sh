#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the proxies, after the build of the
# deploy file: the project's stand-ins of the platform and of a service, and the cases themselves.
set -eu
cd "$(dirname "$0")/.."
java_home=$(bin/java-home)
rm -rf target/review-2
mkdir -p target/review-2
"$java_home/bin/javac" -nowarn -proc:none -d target/review-2 -cp "$(printf '%s\n' target/app/*.jar | paste -sd:)" \
  platform/src/test/java/org/mimosacleat/platform/standin/*.java \
  review/cases-2/org/mimosacleat/platform/standin/*.java
