#include "http/http.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace yuccachute {

namespace {

/// A handler that writes faster than its caller reads waits beyond this.
constexpr std::size_t mostUnsentBytes = 1u << 20;
constexpr milliseconds drainPollInterval { 5 };

/// What the loop's thread and a handler's thread share of one request.
struct shared_exchange {
    std::shared_ptr<http_exchange> exchange; ///< Used on the loop's thread only.
    std::atomic<bool> gone { false };
    std::atomic<std::size_t> unsent { 0 };
};

/// Carries a handler's answer to the loop's thread.
class posting_sink final : public reply_sink {
public:
    posting_sink(event_loop& loop, std::shared_ptr<shared_exchange> shared)
        : m_loop(loop)
        , m_shared(std::move(shared))
    {
    }

    void send(http_reply reply) override
    {
        post(
            [reply = std::move(reply)](http_exchange& exchange) mutable { exchange.send(std::move(reply)); });
    }

    bool startStream(unsigned status, const http_headers& headers) override
    {
        post([status, headers](
                 http_exchange& exchange) { exchange.startStream(status, headers, std::nullopt); });
        return !m_shared->gone;
    }

    bool write(std::string_view chunk) override
    {
        while (m_shared->unsent > mostUnsentBytes && !m_shared->gone) {
            std::this_thread::sleep_for(drainPollInterval);
            post([](http_exchange&) {});
        }
        m_shared->unsent += chunk.size();
        post([chunk = std::string(chunk)](http_exchange& exchange) { exchange.write(chunk); });
        return !m_shared->gone;
    }

    void finish() override
    {
        post([](http_exchange& exchange) { exchange.finish(); });
    }

private:
    template <typename Step> void post(Step step)
    {
        m_loop.post([shared = m_shared, step = std::move(step)]() mutable {
            step(*shared->exchange);
            shared->unsent = shared->exchange->unsentBytes();
        });
    }

    event_loop& m_loop;
    std::shared_ptr<shared_exchange> m_shared;
};

} // namespace

struct http_server::impl {
    impl(const http_server_options& options, http_handler given)
        : handler(std::move(given))
        , maxThreads(options.maxThreads)
    {
        http_listener_options how;
        how.address = options.address;
        how.port = options.port;
        how.limits.maxBodyBytes = options.maxBodyBytes;
        how.limits.headerTimeout = options.readTimeout;
        how.limits.idleTimeout = options.keepAliveTimeout;
        how.certificateFile = options.certificateFile;
        how.privateKeyFile = options.privateKeyFile;
        listener = std::make_unique<http_listener>(
            loop, how, [this](std::shared_ptr<http_exchange> exchange) { enqueue(std::move(exchange)); });
        thread = std::thread([this] { loop.run(); });
    }

    ~impl()
    {
        {
            const std::scoped_lock lock(mutex);
            stopping = true;
        }
        changed.notify_all();
        for (auto& worker : workers)
            worker.join();
        loop.post([this] { loop.stop(); }); // After the answers that were posted before.
        thread.join();
    }

    void enqueue(std::shared_ptr<http_exchange> exchange)
    {
        auto shared = std::make_shared<shared_exchange>();
        exchange->onCallerGone([weak = std::weak_ptr(shared)] {
            if (const auto kept = weak.lock())
                kept->gone = true;
        });
        shared->exchange = std::move(exchange);
        {
            const std::scoped_lock lock(mutex);
            queue.push_back(std::move(shared));
            if (idle < queue.size() && workers.size() < maxThreads)
                workers.emplace_back([this] { work(); });
        }
        changed.notify_one();
    }

    void work()
    {
        std::unique_lock lock(mutex);
        while (true) {
            ++idle;
            changed.wait(lock, [&] { return stopping || !queue.empty(); });
            --idle;
            if (queue.empty())
                return;
            const auto shared = std::move(queue.front());
            queue.pop_front();
            lock.unlock();
            posting_sink sink(loop, shared);
            handler(shared->exchange->request(), sink);
            // The exchange ends on the loop's thread, after the steps of its answer.
            loop.post([shared] { shared->exchange.reset(); });
            lock.lock();
        }
    }

    http_handler handler;
    unsigned maxThreads;
    event_loop loop;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::shared_ptr<shared_exchange>> queue;
    std::size_t idle = 0;
    bool stopping = false;
    std::vector<std::thread> workers;
    std::unique_ptr<http_listener> listener;
    std::thread thread;
};

http_server::http_server(http_server_options options, http_handler handler)
    : m_impl(std::make_unique<impl>(options, std::move(handler)))
{
}

http_server::~http_server() = default;

} // namespace yuccachute
