#pragma once

#include "front/front.h"

namespace yuccachute {

/// Asks targets for their load over HTTP. On the loop's thread.
class target_loads final : public load_source {
public:
    target_loads(http_client& client, const load_protocol& protocol);
    void ask(const std::string& address, callback done) override;

private:
    http_client& m_client;
    const load_protocol& m_protocol;
};

} // namespace yuccachute
