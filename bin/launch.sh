# Sourced by bin/umberpath and bin/umberpath-lab: builds a module's executable jar when it is
# missing or older than its sources, and runs it in place of this shell.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

# Prints the executable jar of a module, or nothing.
executable_jar() {
  local jar
  for jar in "$root/$1"/target/"$1"-*-all.jar; do
    if [ -f "$jar" ]; then
      printf '%s\n' "$jar"
      return
    fi
  done
}

# Whether a source file is newer than the jar.
is_stale() {
  [ -n "$(find "$root"/pom.xml "$root"/umberpath-*/pom.xml "$root"/umberpath-*/src/main \
    -newer "$1" -type f -print -quit)" ]
}

# Builds a module; one build at a time, the others wait for it and find it done.
build_if_needed() {
  local jar
  jar=$(executable_jar "$1")
  if [ -n "$jar" ] && ! is_stale "$jar"; then
    return
  fi
  mkdir -p "$root/target"
  (
    flock 9
    jar=$(executable_jar "$1")
    if [ -z "$jar" ] || is_stale "$jar"; then
      echo "building $1" >&2
      cd "$root"
      mvn -q -B -ntp -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip \
        -pl "$1" -am package >&2
    fi
  ) 9>"$root/target/launch.lock"
}

# Runs a module with the arguments.
launch() {
  local module=$1
  shift
  build_if_needed "$module"
  local java=java
  if [ -n "${JAVA_HOME:-}" ]; then
    java=$JAVA_HOME/bin/java
  fi
  # The client compiler alone starts with less work; a node's request path is faster with both
  # compilers (docs/measurements/request-path.md).
  local compiler=-XX:TieredStopAtLevel=1
  if [ "$module ${1:-}" = "umberpath-node node" ]; then
    compiler=-XX:+TieredCompilation
  fi
  # shellcheck disable=SC2086 # the options are several words
  exec "$java" ${UMBERPATH_JAVA_OPTIONS:--XX:+UseSerialGC $compiler -Xss512k -Xmx256m} \
    -jar "$(executable_jar "$module")" "$@"
}
