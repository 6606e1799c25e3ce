#!/usr/bin/env bash
# Builds the entry VM's program into target/entry and an archive of the classes it loads, which halves its start-up.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -q -ntp -DskipTests -Dktlint.skip -pl platform,goldcrestquay-platform-standins -am package
rm -rf target/entry target/training target/entry.jsa
mkdir -p target/entry target/training
cp target/goldcrestquay-platform/lib/*.jar target/goldcrestquay-platform/goldcrestquay-platform-0.1.0.jar target/entry/
# One fixed class path for the training run and every later start, or the archive is not used.
printf -- '-cp %s\n' "$(ls target/entry/*.jar | paste -sd:)" > target/entry.args

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
kill -TERM "$entry"
wait "$entry" || true
[ -s target/entry.jsa ] || echo "no class archive was made; see target/training/entry.log" >&2
