#!/usr/bin/env bash
# Makes the committed code of libs/wire/generated anew. Needs protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/../libs/wire"
protoc -Iproto --cpp_out=generated --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/*.proto
rm -f generated/keyvalue.grpc.pb.*
