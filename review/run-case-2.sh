#!/usr/bin/env bash
# Runs one case: run-case-2.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. The runtime is that of the JDK which built the stand-ins.
set -u
cd "$(dirname "$0")/.."
folder=$1
class=$2
[ -d target/review-2 ] && [ -x target/rt/bin/java ] || { echo "run deploy/build.sh and review/build-2.sh first" >&2; exit 2; }
java_home=$(bin/java-home) || exit 2
class_path=target/review-2:$(printf '%s\n' target/app/*.jar | paste -sd:)
"$java_home/bin/java" -Xmx2g -cp "$class_path" "org.mimosacleat.platform.standin.$class" "review/$folder" &
runner=$!
trap 'kill "$runner" 2>/dev/null' INT TERM
wait "$runner"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
