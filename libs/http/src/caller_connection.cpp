#include "caller_connection.h"

#include "http_log.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <cstdio>

namespace yuccachute {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr unsigned http10 = 10; ///< HTTP/1.0, as Boost.Beast gives versions.
/// Limit on input that is read ahead of its turn; above it the connection is not read until the response is
/// written.
constexpr std::size_t maxReadAheadBytes = 16u << 10;
/// Limit on the line of a chunk's header, and on heads that are longer than the limit on them.
constexpr std::size_t maxLineBytes = 64u << 10;
constexpr std::size_t inputGranularity = 4u << 10;
/// Time allowed for the peer to close the connection after its last response, without and with further input.
/// Closing a socket with unread input sends a reset, and a reset can discard response bytes that the peer has
/// not read yet.
constexpr milliseconds lingerTimeout { 1000 };
constexpr milliseconds maxLingerTime { 5000 };
/// A caller that sends less than this is not making progress with a large request.
constexpr std::size_t progressBytes = 16u << 10;
/// Output is written in pieces of this size. Each is progress.
constexpr std::size_t maxWriteBytes = 64u << 10;
/// Output buffers up to this size are part of the connection's own memory.
constexpr std::size_t freeOutputBytes = 4u << 10;
constexpr int largeReceiveBuffer = 64 << 10;
/// Memory of a request besides its body: the exchange and the objects that serve it, each field, and each
/// byte of the head, which are kept several times: parsed, as received, and as sent on.
constexpr std::size_t requestMemory = 8u << 10;
constexpr std::size_t memoryPerField = 320;
constexpr std::size_t memoryPerHeadByte = 8;
/// Capacity of a body of unknown length that may be left unused once it is complete.
constexpr std::size_t maxUnusedCapacity = 64u << 10;
/// Stalled connections give way to others after a second.
constexpr std::string_view refusalRetryAfter = "1";

std::string formatResponseHead(unsigned status, const http_headers& headers)
{
    const auto reason = beast_http::obsolete_reason(static_cast<beast_http::status>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto& [key, value] : headers)
        text.append(key).append(": ").append(value).append("\r\n");
    return text;
}

http_request toRequest(beast_http::request<received_body>&& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    const auto question = request.target.find('?');
    request.path = request.target.substr(0, question);
    if (question != std::string::npos)
        request.query = request.target.substr(question + 1);
    for (const auto& field : message)
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    return request;
}

/// Whether the length of the body follows from a transfer coding that is not "chunked" alone. The parser
/// takes such a request for one without a body, and its body for the next request.
bool hasAmbiguousLength(const beast_http::request_header<>& head)
{
    const auto codings = head.equal_range(beast_http::field::transfer_encoding);
    const auto count = std::distance(codings.first, codings.second);
    return count > 1 || (count == 1 && !boost::beast::iequals(codings.first->value(), "chunked"));
}

/// Maps a parse error to the status code of the response.
unsigned statusForParseError(const error_code& error)
{
    if (error == beast_http::error::header_limit || error == beast_http::error::buffer_overflow)
        return 431;
    if (error == beast_http::error::body_limit)
        return 413;
    return 400;
}

/// Returns nothing unless the input contains the whole head.
std::optional<std::size_t> headMemoryOf(std::string_view input)
{
    constexpr std::string_view endOfHead = "\r\n\r\n";
    const auto end = input.find(endOfHead);
    if (end == std::string_view::npos)
        return std::nullopt;
    const auto head = input.substr(0, end + endOfHead.size());
    const auto lines = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
    return requestMemory + lines * memoryPerField + head.size() * memoryPerHeadByte;
}

class exchange final : public http_exchange {
public:
    exchange(std::shared_ptr<caller_connection> caller, std::uint64_t id, http_request request,
        memory_share memory, steady_time now)
        : m_connection(std::move(caller))
        , m_id(id)
        , m_request(std::move(request))
        , m_memory(std::move(memory))
        , m_received(now)
    {
    }

    ~exchange() override
    {
        // The handler released the exchange without finishing the response, so none can follow.
        if (m_connection->awaitingResponse(m_id))
            m_connection->close();
    }

    const http_request& request() const override { return m_request; }
    steady_time received() const override { return m_received; }

    void send(http_reply reply) override
    {
        if (m_connection->current(m_id))
            m_connection->send(std::move(reply));
    }

    void startStream(
        unsigned status, const http_headers& headers, std::optional<std::uint64_t> length) override
    {
        if (m_connection->current(m_id))
            m_connection->startStream(status, headers, length);
    }

    void write(std::string_view piece) override
    {
        if (m_connection->current(m_id))
            m_connection->write(piece);
    }

    void finish() override
    {
        if (m_connection->current(m_id))
            m_connection->finish();
    }

    void abort() override
    {
        if (m_connection->current(m_id))
            m_connection->close();
    }

    std::size_t unsentBytes() const override
    {
        return m_connection->current(m_id) ? m_connection->unsentBytes() : 0;
    }

    void onDrained(std::function<void()> drained) override
    {
        if (m_connection->current(m_id))
            m_connection->onDrained(std::move(drained));
    }

    void onCallerGone(std::function<void()> gone) override
    {
        if (m_connection->current(m_id))
            m_connection->onCallerGone(std::move(gone));
    }

    void releaseBody() override
    {
        m_memory.resize(m_memory.bytes() - std::min(m_memory.bytes(), m_request.body.capacity()), m_received);
        m_request.body = {};
    }

    bool reserveResponse(std::size_t bytes) override
    {
        return m_connection->current(m_id) && m_connection->reserveOutput(bytes);
    }

private:
    std::shared_ptr<caller_connection> m_connection;
    std::uint64_t m_id;
    http_request m_request;
    memory_share m_memory;
    steady_time m_received;
};

} // namespace

std::size_t connectionMemory(const http_listener_options& options)
{
    constexpr std::size_t plain = 8u << 10;
    constexpr std::size_t buffersOfTls = 72u << 10;
    return plain + (options.certificateFile.empty() ? 0 : buffersOfTls);
}

caller_connection::caller_connection(
    std::shared_ptr<http_listener::impl> owner, std::unique_ptr<byte_stream> stream, memory_share held)
    : m_owner(std::move(owner))
    , m_stream(std::move(stream))
    , m_timer(m_owner->loop)
    , m_held(std::move(held))
    , m_requestMemory(m_owner->options.memory)
    , m_outputMemory(m_owner->options.memory)
    , m_idleSince(std::chrono::steady_clock::now())
{
}

void caller_connection::start()
{
    armTimer(m_owner->options.limits.headerTimeout);
    m_stream->accept([self = shared_from_this()](const error_code& error) {
        if (error)
            return self->close();
        self->awaitRequest();
        self->read();
    });
}

void caller_connection::drain()
{
    if (!m_exchangeActive && !requestStarted())
        close();
}

std::optional<steady_time> caller_connection::idleSince() const
{
    const bool idle = !m_exchangeActive && !m_lingering && !requestStarted();
    return idle ? std::optional(m_idleSince) : std::nullopt;
}

std::optional<steady_time> caller_connection::stalledSince() const
{
    if (m_closed || m_growing)
        return std::nullopt;
    if (unsentBytes() > 0)
        return m_writeProgressAt;
    const bool receiving = !m_exchangeActive && (m_lingering || requestStarted());
    return receiving ? std::optional(m_progressAt) : std::nullopt;
}

std::size_t caller_connection::heldBytes() const
{
    return m_held.bytes() + m_requestMemory.bytes() + m_outputMemory.bytes();
}

void caller_connection::reclaim()
{
    if (m_exchangeActive || m_lingering)
        return close();
    refuseForMemory(heldBytes());
}

void caller_connection::armTimer(std::chrono::nanoseconds time)
{
    m_timer.arm(time, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->timedOut();
    });
}

/// For the next piece of a request, which must be complete within the request timeout.
void caller_connection::armRequestTimer(steady_time now)
{
    const auto& limits = m_owner->options.limits;
    const auto rest = std::max(m_requestBegan + limits.requestTimeout - now, steady_time::duration::zero());
    armTimer(std::min<std::chrono::nanoseconds>(rest, limits.headerTimeout));
}

void caller_connection::timedOut()
{
    const bool midRequest = !m_exchangeActive && !m_lingering && requestStarted();
    if (!midRequest)
        return close();
    const auto now = std::chrono::steady_clock::now();
    if (now - m_requestBegan < m_owner->options.limits.requestTimeout)
        return rejectRequest(408, "the request was not received before the header timeout");
    ++m_owner->counters.timedOut;
    rejectRequest(408, "the request was not received before the request timeout");
}

void caller_connection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    const auto self = shared_from_this();
    if (m_exchangeActive && m_endsByClose && !m_responseQueued)
        m_stream->reset();
    else
        m_stream->close();
    m_timer.cancel();
    m_onDrained = nullptr;
    const auto gone = std::exchange(m_onCallerGone, nullptr);
    const bool awaitingResponse = m_exchangeActive && !m_responseQueued;
    if (m_exchangeActive) {
        m_exchangeActive = false;
        --m_owner->exchanges;
    }
    // The exchange may keep this object for a while. A write in progress keeps its own buffer.
    releaseInput();
    m_parser.reset();
    m_pendingOutput = {};
    for (auto* share : { &m_held, &m_requestMemory, &m_outputMemory })
        share->release();
    m_owner->remove(self);
    if (awaitingResponse && gone)
        m_owner->loop.post(gone);
}

void caller_connection::awaitRequest()
{
    m_parser.reset();
    m_continueSent = false;
    m_idleSince = std::chrono::steady_clock::now();
    armTimer(m_owner->options.limits.idleTimeout);
}

void caller_connection::beginRequest(steady_time now)
{
    const auto& limits = m_owner->options.limits;
    m_parser = std::make_unique<parser>();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_parser->body_limit(limits.maxBodyBytes);
    m_headAdmitted = false;
    m_requestBegan = now;
    m_progressAt = now;
    m_sinceProgress = 0;
    armRequestTimer(now);
}

void caller_connection::read()
{
    if (m_reading || m_closed || (!m_discarding && m_input.size() > maxReadAheadBytes))
        return;
    m_reading = true;
    m_stream->receive(asio::buffer(m_owner->readBuffer),
        [self = shared_from_this()](const error_code& error, std::string_view bytes) {
            self->m_reading = false;
            if (self->m_closed)
                return;
            if (error)
                return self->close();
            self->received(bytes);
            self->read();
        });
}

void caller_connection::received(std::string_view bytes)
{
    const auto now = std::chrono::steady_clock::now();
    recordProgress(bytes.size(), now);
    if (m_lingering || m_discarding)
        return discarded(bytes.size(), now);
    if (m_exchangeActive || !m_input.empty()) {
        if (keepInput(bytes, now) && !m_exchangeActive)
            parseInput();
        return;
    }
    const auto used = parseGuarded(bytes);
    if (!m_closed && !m_lingering && !m_discarding && used < bytes.size())
        keepInput(bytes.substr(used), now);
}

void caller_connection::recordProgress(std::size_t bytes, steady_time now)
{
    m_sinceProgress += bytes;
    if (m_sinceProgress < progressBytes)
        return;
    m_sinceProgress = 0;
    m_progressAt = now;
}

/// Appends to the input. Returns false if there is no memory for it; then the request, or what follows the
/// current one, is refused.
bool caller_connection::keepInput(std::string_view bytes, steady_time now)
{
    const auto size = m_input.size() + bytes.size();
    if (size > m_input.capacity()) {
        // A head gets its largest size at once: growing pieces of thousands of heads would fragment the heap.
        const bool head = !m_headAdmitted || m_exchangeActive;
        const auto least = head ? m_owner->options.limits.maxHeaderBytes : std::size_t { 0 };
        const auto capacity
            = (std::max(size, least) + inputGranularity) / inputGranularity * inputGranularity;
        if (!resizeHeld(capacity, now)) {
            if (m_exchangeActive)
                discardFurtherInput();
            else
                refuseForMemory(size);
            return false;
        }
        m_input.reserve(capacity);
    }
    m_input.append(bytes);
    const bool incompleteLine = !m_exchangeActive
        && m_input.size() > std::max(maxLineBytes, m_owner->options.limits.maxHeaderBytes);
    if (incompleteLine)
        rejectRequest(400, "a line of the request is too long");
    return !incompleteLine;
}

bool caller_connection::resizeHeld(std::size_t inputCapacity, steady_time now)
{
    const auto window = m_largeWindow ? static_cast<std::size_t>(largeReceiveBuffer) : 0;
    return resize(m_held, connectionMemory(m_owner->options) + window + inputCapacity, now);
}

/// This connection does not give way to itself.
bool caller_connection::resize(memory_share& share, std::size_t bytes, steady_time now)
{
    if (m_closed)
        return false;
    m_growing = true;
    const bool resized = share.resize(bytes, now);
    m_growing = false;
    return resized;
}

void caller_connection::releaseInput()
{
    m_input = {};
    resizeHeld(0, m_progressAt); // Shrinks, which always succeeds.
}

/// The current request is served; what the caller sends after it is not read as a request any more.
void caller_connection::discardFurtherInput()
{
    m_discarding = true;
    m_keepAlive = false;
    releaseInput();
    ++m_owner->counters.refusedForMemory;
    m_owner->reportLimit("requests that were sent ahead are discarded", heldBytes());
}

/// A caller may finish sending a request that was refused before it reads the response, but not send on.
void caller_connection::discarded(std::size_t bytes, steady_time now)
{
    m_discardedBytes += bytes;
    const auto mostBytes = m_owner->options.limits.maxBodyBytes + maxLineBytes;
    if (m_discardedBytes > mostBytes || (m_lingering && now >= m_lingerUntil))
        return close();
    if (m_lingering)
        armTimer(std::min<std::chrono::nanoseconds>(lingerTimeout, m_lingerUntil - now));
}

void caller_connection::parseInput()
{
    if (m_closed || m_lingering || m_discarding || m_input.empty())
        return;
    const auto used = parseGuarded(m_input);
    m_input.erase(0, used);
    if (m_input.empty() && !m_closed)
        releaseInput();
}

/// An exception of the parser or of the request's handler closes this connection alone.
std::size_t caller_connection::parseGuarded(std::string_view input)
{
    try {
        return parse(input);
    } catch (const std::exception& exception) {
        currentHttpLog().requestException(exception.what());
        close();
        return 0;
    }
}

/// Returns the number of bytes that were used.
std::size_t caller_connection::parse(std::string_view input)
{
    const auto now = std::chrono::steady_clock::now();
    std::size_t used = 0;
    while (!m_exchangeActive && !m_lingering && !m_closed && used < input.size()) {
        const auto rest = input.substr(used);
        if (!m_parser)
            beginRequest(now);
        if (endsWithinLastChunk(*m_parser, rest) || !admitFields(rest, now) || !admitChunks(rest.size(), now))
            return used;
        error_code error;
        const auto count = m_parser->put(asio::buffer(rest), error);
        used += count;
        if (error && error != beast_http::error::need_more) {
            rejectRequest(statusForParseError(error), error.message());
            return used;
        }
        if (m_parser->is_header_done() && !m_headAdmitted && !admitHead(now))
            return used;
        if (m_parser->is_done()) {
            dispatchRequest();
            return used;
        }
        if (m_parser->is_header_done()) {
            armRequestTimer(now);
            if (!m_continueSent && m_parser->get()[beast_http::field::expect] == "100-continue") {
                m_continueSent = true;
                queue("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (error == beast_http::error::need_more || count == 0)
            return used;
    }
    return used;
}

/// Reserves memory for the fields of a head before they are parsed, which takes many times their size if they
/// are small. Returns false if the head is not complete yet, or was rejected.
bool caller_connection::admitFields(std::string_view input, steady_time now)
{
    if (m_headAdmitted)
        return true;
    const auto memory = headMemoryOf(input);
    if (!memory && input.size() > m_owner->options.limits.maxHeaderBytes)
        rejectRequest(431, "the head of the request is too large");
    if (!memory)
        return false;
    m_headMemory = *memory;
    if (resize(m_requestMemory, m_headMemory, now))
        return true;
    refuseForMemory(m_headMemory);
    return false;
}

/// Reserves memory for the body, if the length is known. Returns false if the request was rejected.
bool caller_connection::admitHead(steady_time now)
{
    m_headAdmitted = true;
    if (hasAmbiguousLength(m_parser->get())) {
        rejectRequest(400, "the transfer coding is not supported");
        return false;
    }
    auto& body = m_parser->get().body();
    const auto length = m_parser->content_length();
    const auto bodyBytes = length ? std::max<std::size_t>(*length, body.capacity()) : body.capacity();
    if (!resize(m_requestMemory, m_headMemory + bodyBytes, now)) {
        refuseForMemory(m_headMemory + bodyBytes);
        return false;
    }
    if (length)
        body.reserve(*length);
    const bool mayBeLarge = length ? *length > smallReceiveBuffer : m_parser->chunked();
    if (mayBeLarge && !m_parser->is_done())
        allowLargeWindow(now);
    return true;
}

/// Reserves memory for the next bytes of a body of unknown length. Returns false if the request was refused.
bool caller_connection::admitChunks(std::size_t incoming, steady_time now)
{
    if (!m_headAdmitted || !m_parser->chunked())
        return true;
    auto& body = m_parser->get().body();
    const auto size = std::min(body.size() + incoming, m_owner->options.limits.maxBodyBytes);
    if (size <= body.capacity())
        return true;
    const auto capacity
        = std::min(std::max(size, 2 * body.capacity()), std::max(size, m_owner->options.limits.maxBodyBytes));
    if (!resize(m_requestMemory, m_headMemory + capacity, now)) {
        refuseForMemory(m_headMemory + capacity);
        return false;
    }
    body.reserve(capacity);
    return true;
}

/// Without memory for it, the body is received all the same, only in smaller parts.
void caller_connection::allowLargeWindow(steady_time now)
{
    if (m_largeWindow)
        return;
    m_largeWindow = true;
    if (resizeHeld(m_input.capacity(), now))
        m_stream->setReceiveBuffer(largeReceiveBuffer);
    else
        m_largeWindow = false;
}

void caller_connection::dispatchRequest()
{
    auto message = m_parser->release();
    m_parser.reset();
    m_timer.cancel();
    m_keepAlive = message.keep_alive();
    m_headRequest = message.method() == beast_http::verb::head;
    m_http10 = message.version() == http10;
    m_endsByClose = false;
    m_exchangeActive = true;
    m_responseQueued = false;
    ++m_owner->exchanges;
    ++m_exchangeId;
    auto& body = message.body();
    if (body.capacity() - body.size() > maxUnusedCapacity)
        body.shrink_to_fit();
    const auto now = std::chrono::steady_clock::now();
    m_requestMemory.force(m_headMemory + body.capacity(), now);
    auto request = toRequest(std::move(message));
    m_owner->callback(std::make_shared<exchange>(shared_from_this(), m_exchangeId, std::move(request),
        std::exchange(m_requestMemory, memory_share(m_owner->options.memory)), now));
}

void caller_connection::refuseForMemory(std::size_t wanted)
{
    ++m_owner->counters.refusedForMemory;
    m_owner->reportLimit("request refused", wanted);
    rejectRequest(503, "there is no memory for this request now; retry later",
        { { "Retry-After", std::string(refusalRetryAfter) } });
}

void caller_connection::rejectRequest(unsigned status, std::string_view message, http_headers headers)
{
    m_keepAlive = false;
    m_exchangeActive = true;
    m_responseQueued = false;
    m_headRequest = false;
    ++m_owner->exchanges;
    ++m_exchangeId;
    m_discarding = true;
    m_parser.reset();
    m_requestMemory.release();
    releaseInput();
    headers.emplace_back("Content-Type", "text/plain");
    send({ status, std::move(headers), std::string(message) + "\n" });
}

void caller_connection::send(http_reply reply)
{
    startStream(reply.status, reply.headers, reply.body.size());
    write(reply.body);
    finish();
}

void caller_connection::startStream(
    unsigned status, const http_headers& headers, std::optional<std::uint64_t> length)
{
    m_endsByClose = !length && m_http10;
    m_chunked = !length && !m_endsByClose && m_owner->options.chunkedResponses;
    if (m_owner->draining)
        m_keepAlive = false;
    auto text = formatResponseHead(status, headers);
    if (length)
        text += "Content-Length: " + std::to_string(*length) + "\r\n";
    else if (m_chunked)
        text += "Transfer-Encoding: chunked\r\n";
    else
        m_keepAlive = false; // The end of the connection is the end of the body.
    if (!m_keepAlive)
        text += "Connection: close\r\n";
    queue(text + "\r\n");
}

void caller_connection::write(std::string_view piece)
{
    if (piece.empty() || m_headRequest)
        return;
    if (!m_chunked)
        return queue(piece);
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    std::string framed = size;
    framed.append(piece).append("\r\n");
    queue(framed);
}

void caller_connection::finish()
{
    m_responseQueued = true;
    m_onCallerGone = nullptr;
    if (m_chunked && !m_headRequest)
        queue("0\r\n\r\n");
    if (unsentBytes() == 0)
        responseWritten();
}

void caller_connection::onDrained(std::function<void()> drained)
{
    m_onDrained = std::move(drained);
    if (unsentBytes() == 0 && m_onDrained)
        m_owner->loop.post(std::exchange(m_onDrained, nullptr));
}

std::size_t caller_connection::unsentBytes() const
{
    return m_pendingOutput.size() + m_outputInFlight.size() - m_written;
}

bool caller_connection::reserveOutput(std::size_t bytes)
{
    const auto queued = m_pendingOutput.capacity() + m_outputInFlight.capacity();
    return resize(m_outputMemory, queued + bytes, std::chrono::steady_clock::now());
}

void caller_connection::queue(std::string_view text)
{
    if (m_closed)
        return;
    if (unsentBytes() == 0)
        m_writeProgressAt = std::chrono::steady_clock::now();
    m_pendingOutput.append(text);
    countOutput();
    flush();
}

/// Output is in use already: a response that is ready is sent. Other connections give way.
void caller_connection::countOutput()
{
    const auto bytes = m_pendingOutput.capacity() + m_outputInFlight.capacity();
    m_growing = true;
    m_outputMemory.force(bytes > freeOutputBytes ? bytes : 0, std::chrono::steady_clock::now());
    m_growing = false;
}

void caller_connection::flush()
{
    if (m_closed || m_writing)
        return;
    if (m_outputInFlight.empty()) {
        if (m_pendingOutput.empty())
            return;
        m_outputInFlight.swap(m_pendingOutput);
    }
    m_writing = true;
    const auto piece = std::min(m_outputInFlight.size() - m_written, maxWriteBytes);
    m_stream->writeAll(asio::buffer(m_outputInFlight.data() + m_written, piece),
        [self = shared_from_this()](const error_code& error, std::size_t count) {
            self->m_writing = false;
            if (self->m_closed)
                return;
            if (error)
                return self->close();
            self->m_written += count;
            self->m_writeProgressAt = std::chrono::steady_clock::now();
            if (self->m_written == self->m_outputInFlight.size())
                self->outputWritten();
            else
                self->flush();
        });
}

/// Called when m_outputInFlight is completely written to the socket.
void caller_connection::outputWritten()
{
    m_written = 0;
    if (m_outputInFlight.capacity() > freeOutputBytes)
        m_outputInFlight = {};
    m_outputInFlight.clear();
    countOutput();
    if (!m_pendingOutput.empty())
        return flush();
    if (const auto drained = std::exchange(m_onDrained, nullptr))
        drained();
    if (m_exchangeActive && m_responseQueued && unsentBytes() == 0)
        responseWritten();
}

/// Called when the response is completely written to the socket. Starts the next request.
void caller_connection::responseWritten()
{
    if (!m_exchangeActive)
        return;
    m_exchangeActive = false;
    --m_owner->exchanges;
    m_pendingOutput = {};
    m_outputInFlight = {};
    countOutput();
    if (!m_keepAlive || m_owner->draining)
        return startLinger();
    awaitRequest();
    // Posted to avoid recursion: this may be called from within the handler of the previous request.
    m_owner->loop.post([self = shared_from_this()] {
        self->parseInput();
        self->read();
    });
}

void caller_connection::startLinger()
{
    const auto now = std::chrono::steady_clock::now();
    m_lingering = true;
    m_lingerUntil = now + maxLingerTime;
    m_progressAt = now;
    releaseInput();
    m_stream->finishSending();
    armTimer(lingerTimeout);
    read();
}

} // namespace yuccachute
