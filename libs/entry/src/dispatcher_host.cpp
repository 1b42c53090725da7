#include "dispatcher_host.h"

#include "json_input/json_input.h"
#include "logging/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds tickInterval { 20 };
constexpr milliseconds pollInterval { 1000 };
constexpr milliseconds pollTimeout { 400 };

std::optional<load_report> parseLoadReport(const std::string& body)
{
    const auto document = parseJson(body);
    if (!document.is_object())
        return std::nullopt;
    const auto number = [&](const char* name) {
        const auto found = document.find(name);
        return found != document.end() && found->is_number() ? found->get<double>() : 0.0;
    };
    const auto leaving = document.find("leaving");
    load_report report;
    report.running = static_cast<unsigned>(number("running"));
    report.queued = static_cast<unsigned>(number("queued"));
    report.slots = static_cast<unsigned>(number("slots"));
    report.memoryUsed = number("memory_used");
    report.leaving = leaving != document.end() && leaving->is_boolean() && leaving->get<bool>();
    return report;
}

} // namespace

struct dispatcher_host::hosted_group {
    hosted_group(const group_description& described, steady_time now)
        : description(described)
        , group(described.options)
    {
        group.setTargets(described.targets, now);
    }

    std::mutex mutex;
    group_description description;
    target_group group;
    std::map<std::string, std::unique_ptr<polling_client>>
        connections; ///< By address. Used by the poller thread only.
    std::unique_ptr<periodic_thread>
        poller; ///< Last member, so that the thread stops before the data it uses is destroyed.
};

dispatcher_host::dispatcher_host(const settings_cell& settings, std::string zone, ownership owner)
    : m_settings(settings)
    , m_zone(std::move(zone))
    , m_owner(std::move(owner))
    , m_ticker(std::make_unique<periodic_thread>(tickInterval, [this] { tick(); }))
{
}

dispatcher_host::~dispatcher_host()
{
    m_ticker.reset();
    for (const auto& hosted : allGroups())
        hosted->poller.reset();
}

void dispatcher_host::sessionOpened(std::uint64_t session, std::function<void(envelope)> send)
{
    const std::scoped_lock lock(m_sessionMutex);
    m_sessions[session] = std::move(send);
}

void dispatcher_host::sessionClosed(std::uint64_t session)
{
    {
        const std::scoped_lock lock(m_sessionMutex);
        m_sessions.erase(session);
    }
    for (const auto& hosted : allGroups()) {
        {
            const std::scoped_lock lock(hosted->mutex);
            hosted->group.dropHolder(session, std::chrono::steady_clock::now());
        }
        deliver(*hosted);
    }
}

std::shared_ptr<dispatcher_host::hosted_group> dispatcher_host::findGroup(const std::string& name)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto found = m_groups.find(name); found != m_groups.end())
        return found->second;
    const auto settings = m_settings.current();
    const auto described = settings->groups.find(name);
    if (described == settings->groups.end())
        return nullptr;
    auto hosted = std::make_shared<hosted_group>(described->second, std::chrono::steady_clock::now());
    if (described->second.model)
        hosted->poller = std::make_unique<periodic_thread>(
            pollInterval, [this, raw = hosted.get()] { pollTargets(*raw); });
    m_groups[name] = hosted;
    return hosted;
}

std::vector<std::shared_ptr<dispatcher_host::hosted_group>> dispatcher_host::allGroups() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::shared_ptr<hosted_group>> all;
    for (const auto& [name, hosted] : m_groups)
        all.push_back(hosted);
    return all;
}

void dispatcher_host::requestSlot(std::uint64_t session, ask_message message, envelope& answer)
{
    const auto slotRequestId = message.ask.id;
    const auto settings = m_settings.current();
    const auto described = settings->groups.find(message.group);
    if (described == settings->groups.end()) {
        answer.refusals.push_back({ session, slotRequestId,
            notRun(failure_kind::unavailable, "the target group is not in the dispatcher's settings",
                milliseconds { 1000 }) });
        return;
    }
    if (auto owner = m_owner(described->second); !owner.empty()) {
        answer.moved.push_back({ slotRequestId, std::move(owner) });
        return;
    }
    const auto hosted = findGroup(message.group);
    message.ask.holder = session;
    {
        const std::scoped_lock lock(hosted->mutex);
        hosted->group.ask(std::move(message.ask), std::chrono::steady_clock::now());
    }
    // The acknowledgement shows a waiting holder that the dispatcher is alive. A request that was decided at
    // once needs none.
    if (!deliver(*hosted, session, slotRequestId))
        answer.moved.push_back({ slotRequestId, "" });
}

void dispatcher_host::sessionReceived(std::uint64_t session, envelope message)
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto& release : message.releases) {
        if (const auto hosted = findGroup(release.group)) {
            {
                const std::scoped_lock lock(hosted->mutex);
                hosted->group.release(release.release, now);
            }
            deliver(*hosted);
        }
    }
    for (const auto& withdrawal : message.withdrawals) {
        if (const auto hosted = findGroup(withdrawal.group)) {
            const std::scoped_lock lock(hosted->mutex);
            hosted->group.withdraw(session, withdrawal.slotRequestId, now);
        }
    }
    envelope answer;
    for (auto& one : message.asks)
        requestSlot(session, std::move(one), answer);
    if (answer.empty())
        return;
    const std::scoped_lock lock(m_sessionMutex);
    if (const auto found = m_sessions.find(session); found != m_sessions.end())
        found->second(std::move(answer));
}

bool dispatcher_host::deliver(hosted_group& hosted, std::uint64_t ownSession, std::uint64_t ownSlotRequestId)
{
    bool requestDecided = false;
    const auto noteDecision = [&](std::uint64_t holder, std::uint64_t slotRequestId) {
        requestDecided = requestDecided || (holder == ownSession && slotRequestId == ownSlotRequestId);
    };
    std::map<std::uint64_t, envelope> bySession;
    {
        const std::scoped_lock lock(hosted.mutex);
        for (auto& one : hosted.group.takeDecisions()) {
            if (auto* given = std::get_if<slot_grant>(&one)) {
                noteDecision(given->holder, given->slotRequestId);
                bySession[given->holder].grants.push_back(std::move(*given));
            } else if (auto* refused = std::get_if<slot_refusal>(&one)) {
                noteDecision(refused->holder, refused->slotRequestId);
                bySession[refused->holder].refusals.push_back(std::move(*refused));
            }
            if (const auto* revoked = std::get_if<grant_revocation>(&one))
                bySession[revoked->holder].revokes.push_back({ hosted.description.name, revoked->grantId });
        }
    }
    for (auto& [session, message] : bySession) {
        std::function<void(envelope)> send;
        {
            const std::scoped_lock lock(m_sessionMutex);
            if (const auto found = m_sessions.find(session); found != m_sessions.end())
                send = found->second;
        }
        if (send)
            send(std::move(message));
    }
    return requestDecided;
}

void dispatcher_host::tick()
{
    for (const auto& hosted : allGroups()) {
        {
            const std::scoped_lock lock(hosted->mutex);
            hosted->group.tick(std::chrono::steady_clock::now());
        }
        deliver(*hosted);
    }
}

void dispatcher_host::pollTargets(hosted_group& hosted)
{
    std::vector<target_description> targets;
    {
        const std::scoped_lock lock(hosted.mutex);
        // If another entry owns the group now, that entry polls its targets.
        if (!m_owner(hosted.description).empty())
            return;
        targets = hosted.description.targets;
    }
    std::erase_if(hosted.connections, [&](const auto& kept) {
        return std::none_of(
            targets.begin(), targets.end(), [&](const auto& target) { return target.address == kept.first; });
    });
    for (const auto& target : targets) {
        auto& connection = hosted.connections[target.address];
        if (!connection)
            connection = std::make_unique<polling_client>(target.address);
        const auto reply = connection->get("/load", pollTimeout);
        const std::scoped_lock lock(hosted.mutex);
        const auto now = std::chrono::steady_clock::now();
        if (!reply)
            hosted.group.reportUnreachable(target.name, now);
        else if (const auto load = parseLoadReport(reply.value().body); load && reply.value().status == 200)
            hosted.group.report(target.name, *load, now);
    }
    deliver(hosted);
}

void dispatcher_host::settingsChanged()
{
    const auto settings = m_settings.current();
    for (const auto& hosted : allGroups()) {
        const auto described = settings->groups.find(hosted->description.name);
        const auto now = std::chrono::steady_clock::now();
        {
            const std::scoped_lock lock(hosted->mutex);
            if (described == settings->groups.end()) {
                hosted->description.targets.clear();
            } else {
                hosted->description = described->second;
                hosted->group.setOptions(described->second.options);
            }
            hosted->group.setTargets(hosted->description.targets, now);
        }
        deliver(*hosted);
    }
}

std::map<std::string, group_summary> dispatcher_host::summaries() const
{
    std::map<std::string, group_summary> all;
    for (const auto& hosted : allGroups()) {
        const std::scoped_lock lock(hosted->mutex);
        all[hosted->description.name] = hosted->group.summary(std::chrono::steady_clock::now());
    }
    return all;
}

} // namespace yuccachute
