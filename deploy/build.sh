#!/bin/sh
# Builds the node's jar and the archive of its classes, both under target/.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -ntp -pl platform -am -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip package
mkdir -p target
cp platform/target/umberpath-platform-*-all.jar target/umberpath.jar
# Unpacked once, not at each start, for the architecture of this machine.
java -cp target/umberpath.jar platform/src/archive/NativeLibraryCopy.java target/native
rm -f target/umberpath.jsa
# The command after the archive's name must be that of deploy/system.toml, archive apart.
java platform/src/archive/ArchiveTraining.java target/umberpath.jsa \
  java -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData \
  -Djava.net.preferIPv4Stack=true -Djna.boot.library.path=target/native \
  -jar target/umberpath.jar --metrics-port 8199
