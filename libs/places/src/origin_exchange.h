#pragma once

#include "event_loop/event_loop.h"
#include "messages/messages.h"
#include "origins/origins.h"
#include "places/places.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace yuccachute {

/// Sends the origins of streams to the processes that keep them, and asks these for the origins of streams
/// that callers resume. All calls are made on the event loop's thread.
class origin_exchange {
public:
    struct environment {
        std::function<void(const std::string& address, envelope message)> send;
        /// Addresses of other processes that keep the origins of a service's streams.
        std::function<std::vector<std::string>(const std::string& service, steady_time)> keepers;
        /// Addresses of other processes that may have an origin, including those to which another zone sends
        /// it.
        std::function<std::vector<std::string>(const std::string& service, steady_time)> possibleKeepers;
        std::function<version_evidence(const origin_query& query, steady_time)> evidence;
    };

    origin_exchange(event_loop& loop, environment env);

    void record(const stream_origin& origin, milliseconds validFor, steady_time now);
    /// `done` is called exactly once, asynchronously, unless the returned object is destroyed before.
    std::shared_ptr<origin_search> find(const origin_query& query, origin_callback done, steady_time now);
    /// Handles the messages about origins of a peer. `reply` sends to that peer.
    void received(const envelope& message, const std::string& sender,
        const std::function<void(envelope)>& reply, steady_time now);

private:
    class search;

    void answer(const envelope& message, const std::function<void(envelope)>& reply, steady_time now) const;

    event_loop& m_loop;
    environment m_env;
    origin_table m_table;
    /// By stream id, which may be empty, and service.
    std::multimap<std::pair<std::string, std::string>, std::weak_ptr<search>> m_searches;
};

} // namespace yuccachute
