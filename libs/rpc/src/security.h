#pragma once

#include "rpc/rpc.h"

#include <grpcpp/grpcpp.h>

namespace yuccachute {

/// Largest message. An entry process sends a submitted job with all its items to a batch process in one
/// message.
constexpr int maxMessageBytes = 160 << 20;

std::shared_ptr<grpc::ServerCredentials> serverCredentials(const rpc_security& security);
std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const rpc_security& security);

/// Encodes a failure as a gRPC status.
grpc::Status toStatus(const failure& error);
/// Decodes a failure. A status that was not written by toStatus() comes from gRPC itself, for a lost
/// connection or an expired deadline; then the call may have run.
failure fromStatus(const grpc::Status& status);

} // namespace yuccachute
