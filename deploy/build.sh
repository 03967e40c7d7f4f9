#!/usr/bin/env bash
# Builds what runs on the users' platform, all of it under target/: the jars of the proxy in
# target/app, a runtime with just the modules they need in target/rt, and an archive of the loaded
# and linked classes in target/app.aot, which shortens the start.
set -eu
cd "$(dirname "$0")/.."
java_home=$(bin/java-home)
modules=java.base,java.logging,jdk.httpserver,jdk.net,jdk.unsupported,java.management

bin/maven --quiet -Pdeploy -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip \
  package dependency:copy-dependencies -DincludeScope=runtime -pl platform -am
rm -rf target/rt target/app target/app.aot
mkdir -p target/app
cp target/mimosacleat-platform/dependency/*.jar target/mimosacleat-platform/mimosacleat-*.jar target/app/
"$java_home/bin/jlink" --add-modules "$modules" --strip-debug --no-header-files --no-man-pages \
  --output target/rt --generate-cds-archive

# The class path and the options must be the same here and in system.toml, or the archive is refused.
printf -- '-cp %s\n' "$(printf '%s\n' target/app/*.jar | paste -sd:)" > target/app/classpath
rehearse() {
  target/rt/bin/java -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData --sun-misc-unsafe-memory-access=allow \
    -XX:AOTCacheOutput=target/app.aot \
    @target/app/classpath org.mimosacleat.platform.Main rehearse > target/app/rehearsal.log 2>&1
}
# Another program may take a port of the rehearsal; without an archive a proxy starts, only later.
rehearse || rehearse || echo "no archive of classes: see target/app/rehearsal.log" >&2
