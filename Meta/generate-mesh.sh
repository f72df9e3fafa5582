#!/usr/bin/env bash
# Regenerates the committed code from Mesh.proto. Needs the Debian package protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I Libraries/LibMesh --cpp_out=Libraries/LibMesh/Generated Mesh.proto
