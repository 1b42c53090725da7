#include "http/http.h"

#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

namespace yuccachute {

namespace {

/// Backpressure limit: a handler that writes faster than its caller reads blocks above it.
constexpr std::size_t maxUnsentBytes = 1u << 20;
constexpr milliseconds drainPollInterval { 5 };

/// State of one request that the loop thread and a worker thread share.
struct shared_exchange {
    std::shared_ptr<http_exchange> exchange; ///< Used on the loop's thread only.
    std::atomic<bool> gone { false };
    std::atomic<std::size_t> unsent { 0 };
};

/// Forwards the calls of a blocking handler to the loop's thread.
class loop_reply_sink final : public reply_sink {
public:
    loop_reply_sink(event_loop& loop, std::shared_ptr<shared_exchange> shared)
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
        while (m_shared->unsent > maxUnsentBytes && !m_shared->gone) {
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
        http_listener_options listenerOptions;
        listenerOptions.address = options.address;
        listenerOptions.port = options.port;
        listenerOptions.limits.maxBodyBytes = options.maxBodyBytes;
        listenerOptions.limits.headerTimeout = options.readTimeout;
        listenerOptions.limits.idleTimeout = options.keepAliveTimeout;
        if (options.memoryBytes != 0)
            listenerOptions.memory = std::make_shared<memory_budget>(options.memoryBytes);
        listenerOptions.certificateFile = options.certificateFile;
        listenerOptions.privateKeyFile = options.privateKeyFile;
        listener = std::make_unique<http_listener>(loop, listenerOptions,
            [this](std::shared_ptr<http_exchange> exchange) { enqueue(std::move(exchange)); });
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
        loop.post([this] { loop.stop(); }); // Runs after the output that was posted before.
        thread.join();
    }

    std::size_t drain(steady_time deadline)
    {
        loop.post([this] {
            listener->stopAccepting();
            listener->closeAfterAnswers();
        });
        for (;;) {
            const auto unwritten = countExchanges();
            if (unwritten == 0 || std::chrono::steady_clock::now() >= deadline)
                return unwritten;
            std::this_thread::sleep_for(drainPollInterval);
        }
    }

    std::size_t countExchanges()
    {
        const auto count = std::make_shared<std::promise<std::size_t>>();
        loop.post([this, count] { count->set_value(listener->exchanges()); });
        return count->get_future().get();
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
            loop_reply_sink sink(loop, shared);
            handler(shared->exchange->request(), sink);
            // Released on the loop's thread, after the output that was posted before.
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

std::size_t http_server::drain(steady_time deadline)
{
    return m_impl->drain(deadline);
}

} // namespace yuccachute
