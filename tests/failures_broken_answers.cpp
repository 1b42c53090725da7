#include "platform_system.h"
#include "raw_target.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

constexpr int events = 12;
constexpr int items = 4;
constexpr unsigned targets = 2;
/// More than what the system buffers for a connection whose peer reads nothing.
constexpr std::size_t uploadBytes = 24u << 20;
const std::vector<std::string> routes { "resumable", "once", "plain", "unsafe" };
const std::string idField = "Yuccachute-Request-Id: {id}\r\n";
const std::string streamType = "Content-Type: text/event-stream\r\n";
const std::string twoEvents = "id: 1\ndata: {id}-1\n\nid: 2\ndata: {id}-2\n\n";

std::string withStatus(const std::string& status)
{
    return "HTTP/1.1 " + status + "\r\n" + idField + "Content-Length: 2\r\n\r\nok";
}

std::string withFields(const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\n" + idField + fields + "\r\n" + body;
}

/// Two entries, a batch process and two targets, all of which send the same broken answer when told to.
class broken_system {
public:
    broken_system()
        : system(layout())
        , m_raw(system, targets, { "a" }, 8)
    {
        system.control("/server?number=0&do=unlist");
    }

    /// No caller may get an answer that no sound server has sent, and items wait for a sound server.
    void checkNotPassedOn(const std::string& bytes, raw_target::answers which)
    {
        CAPTURE(bytes);
        m_raw.listAnew();
        const auto job = "job-" + std::to_string(++m_jobs);
        const auto sent = brokenAnswers();
        send({ bytes, std::nullopt }, which);
        CHECK(system.submit("entry-a-1", job, items, events) == 202);
        std::vector<std::thread> callers;
        std::vector<std::string> wrong(2 * routes.size());
        for (std::size_t i = 0; i < wrong.size(); ++i)
            callers.emplace_back([&, i] {
                const auto id = job + "-r" + std::to_string(i);
                const auto& route = routes[i % routes.size()];
                const auto entry = i < routes.size() ? "entry-a-1" : "entry-a-2";
                const auto reply = route == "plain" ? system.plain(entry, route, id)
                                                    : system.stream(entry, route, id, events);
                if (!reply || reply.value().status < 502 || reply.value().status > 504)
                    wrong[i] = route + " "
                        + (reply ? std::to_string(reply.value().status) + " " + reply.value().body
                                 : reply.error().message);
            });
        for (auto& caller : callers)
            caller.join();
        CHECK(wrong == std::vector<std::string>(wrong.size()));
        CHECK(brokenAnswers() > sent);
        for (auto& target : m_raw.targets)
            target->answerSoundly();
        for (const auto& listed : system.allResults("entry-a-2", job, items)) {
            CHECK(listed["state"] == "done");
            const std::string text = listed["text"];
            CHECK(std::count(text.begin(), text.end(), '\n') == events - 1);
        }
    }

    void listTargetsAnew() { m_raw.listAnew(); }

    void send(const broken_answer& answer, raw_target::answers which)
    {
        for (auto& target : m_raw.targets)
            target->sendBroken(answer, which);
    }

    int brokenAnswers() const
    {
        int sum = 0;
        for (const auto& target : m_raw.targets)
            sum += target->brokenAnswers();
        return sum;
    }

    platform_system system;

private:
    static platform_layout layout()
    {
        platform_layout made;
        made.zones = { { "a", 2, 1, 1 } };
        return made;
    }

    listed_raw_targets m_raw;
    int m_jobs = 0;
};

} // namespace

// Guards against a status that does not exist and reaches callers as an answer.
TEST_CASE("an answer whose status does not exist reaches no caller")
{
    broken_system system;
    for (const std::string status : { "000 ", "001 One", "020 Twenty", "099 x", "600 Six", "999 Nine",
             "20 OK", "2000 OK", "-20 OK", " 200 OK" })
        system.checkNotPassedOn(withStatus(status), raw_target::answers::runs);
    system.checkNotPassedOn(withStatus("000 "), raw_target::answers::all);
}

// Guards against a line that is passed on within the field before it, and against bodies whose framing it
// hides.
TEST_CASE("an answer with a broken field in its head reaches no caller")
{
    broken_system system;
    const std::string length = "Content-Length: 2\r\n";
    const std::string chunks = "5\r\nid: 1\r\n0\r\n\r\n";
    for (const std::string blank : { " ", "\t" }) {
        system.checkNotPassedOn(
            withFields(streamType + blank + "X-Name: v\r\n" + length, "ok"), raw_target::answers::runs);
        system.checkNotPassedOn(withFields(streamType + blank + "Transfer-Encoding: chunked\r\n", chunks),
            raw_target::answers::runs);
        system.checkNotPassedOn(withFields(streamType + blank + length, "ok"), raw_target::answers::runs);
    }
    for (const std::string name : { "X Name", "X-Name ", "X\x01Name", "\x01X-Name", "X-Name\x7f" })
        system.checkNotPassedOn(withFields(length + name + ": v\r\n", "ok"), raw_target::answers::runs);
    system.checkNotPassedOn(withFields(streamType + " " + length, "ok"), raw_target::answers::all);
}

// Guards against a part of an answer that looks whole: it has no length, and a reset takes its rest while the
// request is still being written.
TEST_CASE("an answer that is reset while a long upload is written does not look whole")
{
    broken_system system;
    system.system.control("/config?timeout=5000&max_body=" + std::to_string(2 * uploadBytes));
    std::this_thread::sleep_for(milliseconds { 1000 });
    const auto port = system.system.entries.at("entry-a-1").callers;
    const std::string body(uploadBytes, 'u');
    int number = 0;
    for (const int afterMs : { 0, 1, 5, 20, 50, 150 }) {
        for (const std::string route : { "once", "resumable", "unsafe" }) {
            system.listTargetsAnew();
            system.send(
                { withFields(streamType, twoEvents), milliseconds { afterMs } }, raw_target::answers::runs);
            const auto sent = system.brokenAnswers();
            const auto id = "upload-" + std::to_string(++number);
            const auto reply = system.system.call(
                port, "POST", "/" + route + "/x", platform_system::requestHeaders(id, events), body);
            CAPTURE(afterMs, route, reply ? reply.value().body : reply.error().message);
            CHECK(system.brokenAnswers() > sent);
            CHECK((!reply || reply.value().status == 502 || reply.value().status == 504));
        }
    }
}
