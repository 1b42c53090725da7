// Stand-in of a plain service: counts the executions of each request, so that a test can prove at most once.

#include "flags.h"
#include "http/http.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <mutex>
#include <thread>

int main(int argc, char** argv)
{
    using namespace yuccachute;
    const auto signals = standin::blockStopSignals();
    TCLAP::CmdLine line("Stand-in of a plain service", ' ', "1");
    TCLAP::ValueArg<int> port("", "port", "HTTP port", false, 7101, "port", line);
    line.parse(argc, argv);

    std::mutex mutex;
    std::map<std::string, int> executions;
    http_server_options options;
    options.port = static_cast<std::uint16_t>(port.getValue());
    const auto handle = [&](const http_request& request, reply_sink& sink) {
        const auto send = [&](const nlohmann::json& body) {
            sink.send({ 200, { { "Content-Type", "application/json" } }, body.dump() + "\n" });
        };
        if (request.path == "/load")
            return send({ { "running", 0 }, { "queued", 0 } });
        if (request.path == "/executions") {
            const std::scoped_lock lock(mutex);
            return send(executions);
        }
        int count = 0;
        {
            const std::scoped_lock lock(mutex);
            count = ++executions[std::string(findHeader(request.headers, "X-Request-Id"))];
        }
        std::this_thread::sleep_for(
            milliseconds { std::atoi(queryParameter(request.query, "delay_ms").c_str()) });
        send({ { "path", request.path }, { "query", request.query }, { "method", request.method },
            { "body", request.body }, { "executions", count } });
    };
    try {
        http_server server(options, handle);
        standin::waitForStop(signals);
        std::_Exit(0);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
