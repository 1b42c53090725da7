#include "link.h"

#include "peer.grpc.pb.h"
#include "wire/wire.h"

#include <atomic>
#include <mutex>

namespace yuccachute {

namespace {

/// Client side of a grant stream. Keeps itself alive until gRPC's last callback, even if its handle is
/// destroyed.
class grant_link final : public dispatcher_link,
                         public grpc::ClientBidiReactor<peer::Envelope, peer::Envelope>,
                         public std::enable_shared_from_this<grant_link> {
public:
    grant_link(std::shared_ptr<running_calls> calls, std::shared_ptr<grpc::Channel> channel,
        std::function<void(envelope)> received, std::function<void()> closed)
        : m_calls(std::move(calls))
        , m_stub(peer::Peer::NewStub(std::move(channel)))
        , m_context(std::make_unique<grpc::ClientContext>())
        , m_received(std::move(received))
        , m_closed(std::move(closed))
    {
    }

    void start()
    {
        m_self = shared_from_this();
        m_call = m_calls->add([link = shared_from_this()] { link->close(); });
        m_stub->async()->Exchange(m_context.get(), this);
        StartRead(&m_incoming);
        AddHold(); // Required by gRPC because writes are started outside of its callbacks.
        StartCall();
    }

    void close()
    {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_context)
                m_context->TryCancel();
        }
        releaseHold();
    }

    void send(envelope message) override
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_alive)
            return;
        m_pending.add(std::move(message));
        writePending();
    }

    bool alive() const override { return m_alive; }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return releaseHold();
        m_received(fromWire(m_incoming, std::chrono::steady_clock::now()));
        m_incoming.Clear();
        StartRead(&m_incoming);
    }

    void OnWriteDone(bool ok) override
    {
        const std::scoped_lock lock(m_mutex);
        m_writing = false;
        if (ok)
            writePending();
    }

    void OnDone(const grpc::Status&) override
    {
        markClosed();
        m_closed();
        const auto self = std::move(m_self);
        releaseChannel();
        m_calls->remove(m_call);
    }

private:
    /// m_mutex must be held.
    void writePending()
    {
        if (m_writing || m_pending.empty() || !m_alive)
            return;
        m_outgoing.Clear();
        toWire(std::exchange(m_pending, {}), std::chrono::steady_clock::now(), m_outgoing);
        m_writing = true;
        StartWrite(&m_outgoing);
    }

    /// The stub and the context reference the channel, and the handle may keep this object alive for long.
    void releaseChannel()
    {
        const std::scoped_lock lock(m_mutex);
        m_context.reset();
        m_stub.reset();
    }

    void markClosed()
    {
        const std::scoped_lock lock(m_mutex);
        m_alive = false;
    }

    void releaseHold()
    {
        markClosed();
        if (!m_holdReleased.exchange(true))
            RemoveHold();
    }

    std::shared_ptr<running_calls> m_calls;
    std::uint64_t m_call = 0;
    std::unique_ptr<peer::Peer::Stub> m_stub;
    std::unique_ptr<grpc::ClientContext> m_context; ///< Null after OnDone().
    std::function<void(envelope)> m_received;
    std::function<void()> m_closed;
    std::shared_ptr<grant_link> m_self;
    std::mutex m_mutex;
    envelope m_pending;
    peer::Envelope m_incoming;
    peer::Envelope m_outgoing;
    bool m_writing = false;
    std::atomic<bool> m_alive { true };
    std::atomic<bool> m_holdReleased { false };
};

/// Handle given to the caller. Destroying it closes the stream.
class link_handle final : public dispatcher_link {
public:
    explicit link_handle(std::shared_ptr<grant_link> link)
        : m_link(std::move(link))
    {
    }
    ~link_handle() override { m_link->close(); }
    void send(envelope message) override { m_link->send(std::move(message)); }
    bool alive() const override { return m_link->alive(); }

private:
    std::shared_ptr<grant_link> m_link;
};

} // namespace

std::shared_ptr<dispatcher_link> openLink(std::shared_ptr<running_calls> calls,
    std::shared_ptr<grpc::Channel> channel, std::function<void(envelope)> received,
    std::function<void()> closed)
{
    auto link = std::make_shared<grant_link>(
        std::move(calls), std::move(channel), std::move(received), std::move(closed));
    link->start();
    return std::make_shared<link_handle>(std::move(link));
}

} // namespace yuccachute
