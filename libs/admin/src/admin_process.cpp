#include "admin/admin.h"

#include "logging/logging.h"

namespace yuccachute {

struct admin_process::impl {
    explicit impl(const process_options& initialOptions)
        : options(initialOptions)
        , rpc(options.peers)
        , store(connectStore(options.store))
        , follower(rpc, options.seeds, { options.vm, {}, options.http, 0 }, settings)
        , api(*store, settings, [this] { return follower.members(); })
    {
        http_server_options http;
        std::tie(http.address, http.port) = splitAddress(options.http);
        http.certificateFile = options.certificate;
        http.privateKeyFile = options.privateKey;
        server = std::make_unique<http_server>(
            http, [this](const http_request& request, reply_sink& sink) { handle(request, sink); });
        logEvent(log_level::info, "started", { { "http", options.http } });
    }

    void handle(const http_request& request, reply_sink& sink)
    {
        if (request.path == "/healthz")
            return sink.send({ 200, { { "Content-Type", "text/plain" } }, "ok\n" });
        if (request.path == "/readyz")
            return sink.send({ stopping ? 503u : 200u, { { "Content-Type", "text/plain" } },
                stopping ? "not ready\n" : "ready\n" });
        const work_counter::token working(work);
        if (stopping)
            return sink.send({ 503, { { "Content-Type", "application/json" }, { "Retry-After", "1" } },
                writeFailure(notRun(failure_kind::unavailable, "this process is shutting down"), {}) });
        sink.send(api.handle(request));
    }

    process_options options;
    settings_cell settings;
    work_counter work;
    std::atomic<bool> stopping { false };
    rpc_client rpc;
    std::unique_ptr<config_store> store;
    entry_follower follower;
    admin_api api;
    std::unique_ptr<http_server> server;
};

admin_process::admin_process(const process_options& options)
    : m_impl(std::make_unique<impl>(options))
{
}

admin_process::~admin_process()
{
    logEvent(log_level::info, "graceful shutdown begins");
    m_impl->stopping = true;
    const auto deadline = std::chrono::steady_clock::now() + m_impl->options.stopLimit;
    m_impl->work.waitIdle(m_impl->options.stopLimit);
    m_impl->server->drain(deadline);
    m_impl->server.reset();
    logEvent(log_level::info, "graceful shutdown ends");
}

} // namespace yuccachute
