// Randomized soak: the real programs as separate processes on the stand-in of the platform, disturbed from
// outside, while callers check the promises. A violation keeps the logs and ends the program with code 1.

#include "soak_faults.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace yuccachute;
using namespace yuccachute::soak;

constexpr unsigned defaultProcesses = 8;
constexpr unsigned liveCallersPerServer = 2;
constexpr unsigned jobCallers = 3;
/// For processes that were frozen or cut off, to find back.
constexpr milliseconds catchUp { 5000 };

struct soak_options {
    unsigned processes = defaultProcesses;
    int seconds = 15;
};

/// The mood follows from the seed, so that a seed alone names a case.
mood moodOf(unsigned seed)
{
    return seed % 4 == 0 ? mood::planned : seed % 4 == 1 ? mood::store : mood::all;
}

testing::platform_layout layoutOf(unsigned processes)
{
    constexpr unsigned zones = 3;
    const unsigned each = std::max(2u, (processes + zones - 1) / zones);
    const unsigned batches = std::max(1u, each / 5);
    testing::platform_layout layout;
    layout.zones.clear();
    for (const char* zone : { "a", "b", "c" })
        layout.zones.push_back({ zone, each - batches, batches, std::max(2u, each / 4) });
    layout.proxied = true;
    return layout;
}

void report(unsigned seed, const soak_state& state, const disturber& faults)
{
    int served = 0;
    int refused = 0;
    const auto requests = state.book.requests();
    for (const auto& request : requests) {
        served += request.status == 200 ? 1 : 0;
        refused += request.status == 429 || request.status == 503 ? 1 : 0;
    }
    int accepted = 0;
    const auto jobs = state.book.jobs();
    for (const auto& job : jobs)
        accepted += job.accepted ? 1 : 0;
    int disturbances = 0;
    for (const auto& [name, count] : faults.counts())
        disturbances += count;
    const auto violations = state.book.violations();
    std::cout << "seed " << seed << " (" << toString(moodOf(seed)) << "): " << disturbances
              << " disturbances, " << requests.size() << " requests, " << served << " served, " << refused
              << " refused; " << state.resumptions << " streams resumed, " << state.resumed << " went on; "
              << jobs.size() << " jobs, " << accepted << " accepted; " << state.deadlyEnds
              << " servers crashed by a part; " << violations.size() << " violations" << std::endl;
    for (const auto& what : violations)
        std::cout << "  " << what << '\n';
}

/// The callers' threads; they are told to stop and waited for however the soak ends.
class caller_threads {
public:
    explicit caller_threads(soak_state& state)
        : m_state(state)
    {
    }
    ~caller_threads() { join(); }
    caller_threads(const caller_threads&) = delete;
    caller_threads& operator=(const caller_threads&) = delete;

    void add(std::function<void()> work) { m_threads.emplace_back(std::move(work)); }
    void join()
    {
        m_state.stopJobs = true;
        m_state.stop = true;
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

private:
    soak_state& m_state;
    std::vector<std::thread> m_threads;
};

/// Every other server answers without length and chunks. Only where no server or way to one is cut: what
/// ends by the close of a connection between two events cannot be told from a whole answer.
void endByClose(testing::platform_system& system)
{
    for (unsigned number = 0; number < system.servers(); number += 2)
        system.control("/server?do=end_by_close&on=1&number=" + std::to_string(number));
}

/// Returns whether all promises were kept.
bool soakOnce(unsigned seed, const soak_options& options)
{
    testing::reuseFreePorts();
    testing::platform_system system(layoutOf(options.processes));
    ledger book;
    soak_state state { system, book };
    for (const auto& [name, process] : system.entries) {
        state.entryNames.push_back(name);
        state.starts[name] = 0;
    }
    for (const auto& [name, process] : system.batches)
        state.batchNames.push_back(name);
    for (unsigned number = 0; number < system.servers(); ++number)
        state.versions.set(number, "v1");
    if (moodOf(seed) != mood::all)
        endByClose(system);
    disturber faults(state, moodOf(seed), seed);
    caller_threads callers(state);
    for (unsigned i = 0; i < system.servers() * liveCallersPerServer; ++i)
        callers.add([&state, i, seed] { sendLive(state, seed * 1000 + i); });
    callers.add([&state] { probeConfiguration(state); });
    if (moodOf(seed) == mood::all)
        callers.add([&state, seed] { sendDeadly(state, seed); });
    for (unsigned i = 0; i < jobCallers; ++i)
        callers.add([&state, i, seed] { sendJobs(state, seed * 1000 + 900 + i); });

    const auto until = steadyMs() + options.seconds * 1000;
    while (steadyMs() < until) {
        faults.step();
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    faults.heal();
    state.stopJobs = true;
    std::this_thread::sleep_for(catchUp);
    callers.join();
    faults.forgetJobs();
    rereadJobs(state);
    checkCalm(state, seed);
    const auto runs = system.control("/runs")["runs"];
    book.checkRuns(runs, book.disturbed, state.batchNames, moodOf(seed) != mood::all);
    book.checkLeaving(runs, book.disturbed);
    checkResumptions(state);
    checkDeadly(state, runs);
    faults.stopAll();
    report(seed, state, faults);
    const bool kept = book.violations().empty();
    if (!kept) {
        system.keepFolder();
        std::cout << "  logs: " << system.folder() << std::endl;
    }
    return kept;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Soak: real processes under random disturbances", ' ', "1");
    TCLAP::ValueArg<unsigned> seed("", "seed", "first seed; drawn if not given", false, 0, "number", line);
    TCLAP::ValueArg<unsigned> seeds(
        "", "seeds", "how many seeds, one after the other", false, 1, "count", line);
    TCLAP::ValueArg<int> minutes(
        "", "minutes", "go on with further seeds for so long", false, 0, "minutes", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "disturbed time of a seed", false, 15, "seconds", line);
    TCLAP::ValueArg<unsigned> processes(
        "", "processes", "of the system, 6 to 200", false, defaultProcesses, "count", line);
    line.parse(argc, argv);
    if (processes.getValue() < 6 || processes.getValue() > 200) {
        std::cerr << "--processes: " << processes.getValue() << " is not between 6 and 200\n";
        return 2;
    }
    const unsigned first = seed.isSet() ? seed.getValue() : std::random_device {}() % 1000000;
    const auto until = steadyMs() + minutes.getValue() * 60000L;
    unsigned failed = 0;
    for (unsigned i = 0; i < seeds.getValue() || steadyMs() < until; ++i) {
        try {
            failed += soakOnce(first + i, { processes.getValue(), seconds.getValue() }) ? 0 : 1;
        } catch (const std::exception& error) {
            std::cout << "seed " << first + i << ": " << error.what() << std::endl;
            ++failed;
        }
    }
    return failed == 0 ? 0 : 1;
}
