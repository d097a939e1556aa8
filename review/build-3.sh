#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
Out=target/review-3
mkdir -p "$Out"
Flags=(-std=c++20 -O1 -DRESTINIO_USE_BOOST_ASIO=1 -DBOOST_LOG_DYN_LINK -Wno-mismatched-new-delete -Isrc -Itest -Ireview)
g++ "${Flags[@]}" -c test/Fakes/FakeHttpServer.cpp -o "$Out/FakeHttpServer.o"
for Number in 11 12 13 14 15; do
  [ -f "review/$Number/Case.cpp" ] || continue
  g++ "${Flags[@]}" "review/$Number/Case.cpp" "$Out/FakeHttpServer.o" target/libcicadawind_adapters.a target/libcicadawind_policy.a \
    -lboost_log_setup -lboost_log -lboost_thread -lboost_filesystem -lfmt -lhttp_parser -lcrypto -lpthread -o "$Out/case-$Number"
done
