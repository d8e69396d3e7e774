#!/bin/sh
# run-case.sh CLASS FOLDER: plays a case and writes FOLDER/record.txt. Ends, on every way out, the
# processes that the case started: the class ends them itself; this is for when it is killed.
class=$1
folder=$2
cd "$(dirname "$0")/../.." || exit 2
[ -f target/umberpath.jar ] && [ -f "target/review-2/$class.class" ] || {
  echo "run deploy/build.sh and review/build-2.sh first" >&2
  exit 2
}
work=$(mktemp -d) || exit 2
player=
finish() {
  [ -n "$player" ] && kill -KILL "$player" 2>/dev/null
  if [ -f "$work/pids" ]; then
    while read -r pid; do
      if tr '\0' ' ' < "/proc/$pid/cmdline" 2>/dev/null | grep -q umberpath.jar; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done < "$work/pids"
  fi
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
java -Xmx3g -cp target/review-2 "$class" "$folder/record.txt" "$work" &
player=$!
wait "$player"
result=$?
player=
[ "$result" -le 1 ] || result=2
exit "$result"
