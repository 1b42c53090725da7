#include "origin_exchange.h"

#include <set>

namespace yuccachute {

namespace {

/// A peer answers from memory within a few milliseconds, also on a busy VM.
constexpr milliseconds answerTimeout { 50 };

} // namespace

class origin_exchange::search final : public origin_search {
public:
    search(event_loop& loop, version_evidence ownEvidence, origin_callback done)
        : m_loop(loop)
        , m_done(std::move(done))
        , m_timer(loop)
        , m_evidence(std::move(ownEvidence))
    {
    }

    void start(const std::vector<std::string>& addresses)
    {
        m_pending.insert(addresses.begin(), addresses.end());
        if (m_pending.empty())
            return finish({ std::nullopt, true, m_evidence });
        m_timer.arm(answerTimeout, [this] { finish({ std::nullopt, false, m_evidence }); });
    }

    void answered(const std::string& address, const origin_answer& answer)
    {
        m_pending.erase(address);
        m_evidence = combine(m_evidence, answer.evidence);
        if (answer.origin || m_pending.empty())
            finish({ answer.origin, true, m_evidence });
    }

    /// Deferred, so that the caller of find() has received its object.
    void finish(origin_answers answers)
    {
        if (std::exchange(m_finished, true))
            return;
        m_timer.cancel();
        m_loop.post([self = m_self, answers = std::move(answers)] {
            if (const auto search = self.lock())
                std::exchange(search->m_done, nullptr)(answers);
        });
    }

    std::weak_ptr<search> m_self;

private:
    event_loop& m_loop;
    origin_callback m_done;
    loop_timer m_timer;
    std::set<std::string> m_pending; ///< Peers that have not answered.
    version_evidence m_evidence;
    bool m_finished = false;
};

origin_exchange::origin_exchange(event_loop& loop, environment env)
    : m_loop(loop)
    , m_env(std::move(env))
{
}

void origin_exchange::record(const stream_origin& origin, milliseconds validFor, steady_time now)
{
    m_table.record(origin, now + validFor, now);
    for (const auto& address : m_env.keepers(origin.service, now)) {
        envelope message;
        message.origins.push_back({ origin, validFor });
        m_env.send(address, std::move(message));
    }
}

std::shared_ptr<origin_search> origin_exchange::find(
    const origin_query& query, origin_callback done, steady_time now)
{
    std::erase_if(m_searches, [](const auto& entry) { return entry.second.expired(); });
    const auto started = std::make_shared<search>(m_loop, m_env.evidence(query, now), std::move(done));
    started->m_self = started;
    if (auto known = m_table.find(query.streamId, now)) {
        started->finish({ std::move(known), true, {} });
        return started;
    }
    m_searches.emplace(std::pair(query.streamId, query.service), started);
    const auto addresses = m_env.possibleKeepers(query.service, now);
    started->start(addresses);
    for (const auto& address : addresses) {
        envelope message;
        message.originQueries.push_back(query);
        m_env.send(address, std::move(message));
    }
    return started;
}

void origin_exchange::answer(
    const envelope& message, const std::function<void(envelope)>& reply, steady_time now) const
{
    envelope answers;
    for (const auto& query : message.originQueries)
        answers.originAnswers.push_back(
            { query.streamId, query.service, m_table.find(query.streamId, now), m_env.evidence(query, now) });
    reply(std::move(answers));
}

void origin_exchange::received(const envelope& message, const std::string& sender,
    const std::function<void(envelope)>& reply, steady_time now)
{
    for (const auto& record : message.origins)
        m_table.record(record.origin, now + record.validFor, now);
    if (!message.originQueries.empty())
        answer(message, reply, now);
    for (const auto& answer : message.originAnswers) {
        std::vector<std::shared_ptr<search>> searches;
        const auto [begin, end] = m_searches.equal_range({ answer.streamId, answer.service });
        for (auto entry = begin; entry != end; ++entry) {
            if (auto running = entry->second.lock())
                searches.push_back(std::move(running));
        }
        for (const auto& running : searches)
            running->answered(sender, answer);
    }
}

} // namespace yuccachute
