#!/usr/bin/env bash
# Builds the entry VM's program into target/entry, and a class archive (CDS) that halves its start-up time.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -q -ntp -DskipTests -Dktlint.skip -pl platform,goldcrestquay-platform-standins -am package
rm -rf target/entry target/training target/entry.jsa
mkdir -p target/entry/classes/META-INF/services target/training

# A single jar without compression, since opening fifty jars and searching each for services took a fifth of the start-up time.
for library in "$PWD"/target/goldcrestquay-platform/lib/*.jar "$PWD"/target/goldcrestquay-platform/goldcrestquay-platform-0.1.0.jar; do
  unpacked="$(mktemp -d -p target/training)"
  (cd "$unpacked" && jar -xf "$library")
  for service in "$unpacked"/META-INF/services/*; do
    [ -f "$service" ] || continue
    { cat "$service"; echo; } >> "target/entry/classes/META-INF/services/$(basename "$service")"
  done
  rm -rf "$unpacked/META-INF/services" "$unpacked/META-INF/MANIFEST.MF" "$unpacked/module-info.class"
  cp -rf "$unpacked"/. target/entry/classes/
  rm -rf "$unpacked"
done
printf 'Multi-Release: true\n' > target/training/manifest
jar -c -0 -f target/entry/entry.jar -m target/training/manifest -C target/entry/classes .
rm -rf target/entry/classes
printf -- '-cp target/entry/entry.jar\n' > target/entry.args

settings="$PWD/target/training/settings.json"
standins=target/goldcrestquay-platform-standins
java -XX:-UsePerfData -cp "$standins/classes:$standins/lib/*" dev.goldcrestquay.standins.platform.TrainingMainKt "$settings" \
  > target/training/standins.log 2>&1 &
training=$!
for _ in $(seq 200); do
  [ -s "$settings" ] && break
  sleep 0.1
done
GOLDCRESTQUAY_SETTINGS="$settings" java @deploy/entry.args -XX:ArchiveClassesAtExit=target/entry.jsa @target/entry.args \
  dev.goldcrestquay.platform.MainKt > target/training/entry.log 2>&1 &
entry=$!
if ! wait "$training"; then
  echo "the training run failed; the program starts without a class archive" >&2
  cat target/training/standins.log >&2
fi
# The decision log starts seconds after the process; without this pause a fast machine's archive lacks the logging library.
sleep 4
if ! kill -TERM "$entry" 2> /dev/null; then
  echo "the entry VM ended by itself in the training run" >&2
  cat target/training/entry.log >&2
  exit 1
fi
wait "$entry" || true
[ -s target/entry.jsa ] || echo "no class archive was made; see target/training/entry.log" >&2
