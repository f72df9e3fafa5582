#!/usr/bin/env bash
# Regenerates the committed gRPC code from Peer.proto.
# Needs the Debian packages protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I Libraries/LibPeer --cpp_out=Libraries/LibPeer/Generated \
  --grpc_out=Libraries/LibPeer/Generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" Peer.proto
