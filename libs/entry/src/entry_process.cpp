#include "entry/entry.h"

#include "request_context.h"

#include "logging/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds leaveAnnouncementTime { 300 };
constexpr milliseconds notReadyRetryAfter { 1000 };
/// Memory of a VM whose options do not give it. The largest body takes a part of it alone.
constexpr std::uint64_t defaultEntryMemoryMb = 1024;
/// Exit code of a shutdown that reached its time limit while requests were running.
constexpr int exitRequestsCutOff = 3;

/// Handles the RPCs of peers.
class entry_peers final : public peer_handler {
public:
    entry_peers(cluster& peers, dispatcher_host& host, const settings_cell& settings)
        : m_peers(peers)
        , m_host(host)
        , m_settings(settings)
    {
    }

    void sessionOpened(std::uint64_t session, std::function<void(envelope)> send) override
    {
        m_host.sessionOpened(session, std::move(send));
    }
    void sessionReceived(std::uint64_t session, envelope message) override
    {
        m_host.sessionReceived(session, std::move(message));
    }
    void sessionClosed(std::uint64_t session) override { m_host.sessionClosed(session); }
    gossip_message gossip(const gossip_message& request) override { return m_peers.gossip(request); }
    follow_reply follow(const follow_request& request) override { return m_peers.follow(request); }

    std::optional<settings_update> pull(std::int64_t newerThan) override
    {
        return m_settings.updateSince(newerThan);
    }

private:
    cluster& m_peers;
    dispatcher_host& m_host;
    const settings_cell& m_settings;
};

/// Whether a request id from a caller is accepted. Ids are returned and logged, so their length and
/// characters are restricted.
bool isRequestId(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
    constexpr std::size_t maxLength = 128;
    return !text.empty() && text.size() <= maxLength
        && text.find_first_not_of(allowed) == std::string_view::npos;
}

} // namespace

struct entry_process::impl {
    explicit impl(const process_options& given)
        : options(given)
        , rpc(options.peers)
        , store(connectStore(options.store))
        , peers(options, rpc, *store, settings, [this] { settingsChanged(); })
        , grants(
              rpc, [this](const auto& group, const auto& zone) { return peers.owners(group, zone); },
              [this](const auto& address) { peers.reportUnreachable(address); })
        , host(settings, options.zone,
              [this](const group_description& group) { return peers.ownerElsewhere(group.name); })
        , claims(*store)
        , handler(peers, host, settings)
        , services { options, settings, peers, grants, chooser, limits, claims, rpc, figures, stopping }
        , server(options.rpc, options.peers, &handler, nullptr)
    {
        grants.setLocal(options.rpc, handler);
        hostReady = true;
        host.settingsChanged();
        http_server_options http;
        std::tie(http.address, http.port) = splitAddress(options.http);
        http.certificateFile = options.certificate;
        http.privateKeyFile = options.privateKey;
        http.maxBodyBytes = 128u << 20;
        http.memoryBytes
            = requestMemoryBytes(options.memoryMb != 0 ? options.memoryMb : defaultEntryMemoryMb, 0);
        callers = std::make_unique<http_server>(
            http, [this](const http_request& request, reply_sink& sink) { handle(request, sink); });
        logEvent(log_level::info, "started",
            { { "http", options.http }, { "rpc", options.rpc }, { "zone", options.zone } });
    }

    void settingsChanged()
    {
        if (hostReady)
            host.settingsChanged();
    }

    bool ready() const { return !stopping && settings.version() > 0; }

    void handle(const http_request& request, reply_sink& sink)
    {
        if (request.path == "/healthz")
            return sink.send({ 200, { { "Content-Type", "text/plain" } }, "ok\n" });
        if (request.path == "/readyz")
            return sink.send({ ready() ? 200u : 503u, { { "Content-Type", "text/plain" } },
                ready() ? "ready\n" : "not ready\n" });
        if (request.path == "/metrics")
            return sendMetrics(sink);
        if (request.path == "/status")
            return sendStatus(sink);
        request_context context { request, sink, std::string(findHeader(request.headers, "X-Request-Id")), {},
            {}, settings.current(), std::chrono::steady_clock::now(), {}, {} };
        context.token = randomId();
        if (!isRequestId(context.requestId))
            context.requestId = context.token;
        const work_counter::token working(work);
        route(context);
    }

    void route(request_context& context)
    {
        if (!ready())
            return sendFailure(context,
                notRun(failure_kind::unavailable,
                    stopping ? "this entry is shutting down" : "this entry has no settings yet",
                    notReadyRetryAfter));
        constexpr std::string_view scheme = "Bearer ";
        const auto authorization = findHeader(context.request.headers, "Authorization");
        const auto customer = authorization.substr(0, scheme.size()) == scheme
            ? context.settings->customerOf(authorization.substr(scheme.size()))
            : std::nullopt;
        if (!customer)
            return sendFailure(context,
                notRun(failure_kind::unauthorized,
                    "header Authorization: must be \"Bearer \" followed by the API key of a customer"));
        context.customer = *customer;
        const auto& path = context.request.path;
        if (path == "/v1/completions" && context.request.method == "POST")
            return handleCompletion(services, context);
        if (path.starts_with("/services/"))
            return handlePlain(services, context);
        if (path.starts_with("/v1/batches"))
            return handleJobs(services, context);
        sendFailure(context,
            notRun(failure_kind::not_found, "the path does not exist or does not support the method"));
    }

    void sendMetrics(reply_sink& sink)
    {
        figures.set("yuccachute_settings_version", static_cast<double>(settings.version()));
        figures.set("yuccachute_requests_running", work.running());
        figures.set("yuccachute_members", static_cast<double>(peers.view().size()));
        sink.send({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, figures.text() });
    }

    void sendStatus(reply_sink& sink)
    {
        nlohmann::ordered_json body;
        body["vm"] = options.vm;
        body["zone"] = options.zone;
        body["ready"] = ready();
        body["settings_version"] = settings.version();
        for (const auto& member : peers.view()) {
            body["members"].push_back({ { "vm", member.info.vm }, { "zone", member.info.zone },
                { "state", toString(member.state) }, { "address", member.info.address },
                { "batch", member.info.batchAddress }, { "admin", member.info.adminAddress },
                { "settings_version", member.info.settingsVersion } });
        }
        for (const auto& [name, summary] : host.summaries()) {
            const auto owner = peers.ownerElsewhere(name);
            if (!owner.empty())
                continue;
            body["groups"].push_back({ { "name", name }, { "targets", summary.targets },
                { "usable", summary.usableTargets }, { "slots", summary.slots }, { "live", summary.live },
                { "bulk", summary.bulk }, { "live_waiting", summary.liveWaiting },
                { "bulk_waiting", summary.bulkWaiting }, { "bulk_window", summary.bulkWindow } });
        }
        sink.send({ 200, { { "Content-Type", "application/json" } }, body.dump() + "\n" });
    }

    /// Graceful shutdown: notifies the peers, which take over the groups, waits for running requests, and
    /// closes the listening ports last.
    void stop()
    {
        logEvent(
            log_level::info, "graceful shutdown begins", { { "running", std::int64_t { work.running() } } });
        peers.leave();
        stopping = true;
        std::this_thread::sleep_for(leaveAnnouncementTime);
        const auto deadline = std::chrono::steady_clock::now() + options.stopLimit;
        work.waitIdle(options.stopLimit);
        // The last output of a handler is queued when the handler returns. Without the drain a response loses
        // its end if the HTTP server's loop is behind.
        const auto unwritten = callers->drain(deadline);
        if (const auto cutOff = std::max<std::size_t>(work.running(), unwritten); cutOff > 0) {
            // Exits without destroying the HTTP server, which would wait for its requests indefinitely.
            logEvent(
                log_level::error, "stop limit reached", { { "cut_off", static_cast<std::int64_t>(cutOff) } });
            stopLogging();
            std::_Exit(exitRequestsCutOff);
        }
        callers.reset();
        logEvent(
            log_level::info, "graceful shutdown ends", { { "cut_off", std::int64_t { work.running() } } });
    }

    process_options options;
    settings_cell settings;
    metrics figures;
    std::atomic<bool> stopping { false };
    std::atomic<bool> hostReady { false };
    work_counter work;
    rpc_client rpc;
    std::unique_ptr<config_store> store;
    cluster peers;
    grant_client grants; ///< Declared before host, which sends decisions to it until it is destroyed.
    dispatcher_host host;
    local_slot_chooser chooser;
    customer_limits limits;
    request_claims claims;
    entry_peers handler;
    entry_services services;
    rpc_server server;
    std::unique_ptr<http_server> callers;
};

entry_process::entry_process(const process_options& options)
    : m_impl(std::make_unique<impl>(options))
{
}

entry_process::~entry_process()
{
    m_impl->stop();
}

} // namespace yuccachute
