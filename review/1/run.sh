#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.."
exec "$(bin/java-home)/bin/java" -Xmx512m -Dsun.net.httpserver.nodelay=true -cp "target/review:$(printf '%s\n' target/app/gson-*.jar)" org.mimosacleat.platform.standin.Case1 review/1
