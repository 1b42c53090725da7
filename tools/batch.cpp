#include "batch/batch.h"

#include "logging/logging.h"

#include <iostream>

int main(int argc, char** argv)
{
    int exitCode = 0;
    const auto options = yuccachute::startProcess(
        argc, argv, "yuccachute-batch", "Accepts bulk jobs and runs them in spare capacity", exitCode);
    if (!options)
        return exitCode;
    try {
        const yuccachute::batch_process process(*options);
        yuccachute::waitForStopSignal();
    } catch (const std::exception& error) {
        std::cerr << "yuccachute-batch: " << error.what() << '\n';
        exitCode = 1;
    }
    yuccachute::stopLogging();
    return exitCode;
}
