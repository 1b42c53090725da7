// Load and experiment tool: runs a named scenario with real processes and reports what it measured.

#include "runs.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace yuccachute::load;
    std::signal(SIGPIPE, SIG_IGN);
    try {
        TCLAP::CmdLine line("Runs a scenario of bench/scenarios with real processes", ' ', "1");
        TCLAP::ValueArg<std::string> out(
            "", "out", "folder for JSON, table and plot", false, "out/measure", "folder", line);
        TCLAP::ValueArg<unsigned> rounds(
            "", "rounds", "rounds, in place of the scenario's", false, 0, "count", line);
        TCLAP::UnlabeledValueArg<std::string> file("scenario", "INI file", true, "", "file", line);
        line.parse(argc, argv);
        auto described = readScenario(file.getValue());
        if (rounds.getValue() > 0)
            described.rounds = rounds.getValue();
        const std::map<std::string, json (*)(const scenario&)> kinds { { "load", runLoad },
            { "overhead", runOverhead }, { "job", runJob }, { "control", runControl } };
        const auto kind = kinds.find(described.kind);
        if (kind == kinds.end())
            throw std::runtime_error(
                file.getValue() + ": [scenario] kind: is none of load, overhead, job and control");
        report(described, kind->second(described), out.getValue());
    } catch (const std::exception& error) {
        std::cerr << "yuccachute-load: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
