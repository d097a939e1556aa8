#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
Out=target/review-2
mkdir -p "$Out"
Flags=(-std=c++20 -O1 -DRESTINIO_USE_BOOST_ASIO=1 -DBOOST_LOG_DYN_LINK -Wno-mismatched-new-delete -Isrc -Iplatform -Itest -Ireview)
Sources=(test/Fakes/FakeHttpServer.cpp test/Emulator/EmulatedGroup.cpp test/Emulator/EmulatedInstance.cpp test/Emulator/EmulatedStore.cpp)
Objects=()
Pids=()
for Source in "${Sources[@]}"; do
  Object=$Out/$(basename "$Source" .cpp).o
  g++ "${Flags[@]}" -c "$Source" -o "$Object" &
  Pids+=($!)
  Objects+=("$Object")
done
for Pid in "${Pids[@]}"; do wait "$Pid"; done
for Case in review/*/Case.cpp; do
  Name=$(basename "$(dirname "$Case")")
  g++ "${Flags[@]}" "$Case" "${Objects[@]}" target/libcicadawind_platform.a target/libcicadawind_adapters.a target/libcicadawind_policy.a \
    -lboost_log_setup -lboost_log -lboost_thread -lboost_filesystem -lfmt -lhttp_parser -lcrypto -lpthread -o "$Out/case-$Name"
done
