#include "entry/entry.h"

#include "logging/logging.h"

#include <iostream>

int main(int argc, char** argv)
{
    int exitCode = 0;
    const auto options = yuccachute::startProcess(argc, argv, "yuccachute-entry",
        "Serves callers: routing, limits, retries, and grants for target groups", exitCode);
    if (!options)
        return exitCode;
    try {
        const yuccachute::entry_process process(*options);
        yuccachute::waitForStopSignal();
    } catch (const std::exception& error) {
        std::cerr << "yuccachute-entry: " << error.what() << '\n';
        exitCode = 1;
    }
    yuccachute::stopLogging();
    return exitCode;
}
