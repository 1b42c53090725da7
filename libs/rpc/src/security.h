#pragma once

#include "rpc/rpc.h"

#include <grpcpp/grpcpp.h>

namespace yuccachute {

/// Largest message: a submitted job travels whole from the entry to a batch process.
constexpr int mostMessageBytes = 160 << 20;

std::shared_ptr<grpc::ServerCredentials> serverCredentials(const rpc_security& security);
std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const rpc_security& security);

/// Carries a failure through a gRPC status.
grpc::Status toStatus(const failure& error);
/// Reads it back. A status that no handler of ours wrote is a broken or late call: it may have run.
failure fromStatus(const grpc::Status& status);

} // namespace yuccachute
