#pragma once

#include "rpc/rpc.h"

#include <grpcpp/grpcpp.h>

namespace yuccachute {

/// Opens a grant stream over a channel.
std::shared_ptr<dispatcher_link> openLink(std::shared_ptr<grpc::Channel> channel,
    std::function<void(envelope)> received, std::function<void()> closed);

} // namespace yuccachute
