#include "admin/admin.h"

#include "logging/logging.h"

#include <iostream>

int main(int argc, char** argv)
{
    int exitCode = 0;
    const auto options = yuccachute::startProcess(argc, argv, "yuccachute-admin",
        "Serves operators: the administration API over the settings tree", exitCode);
    if (!options)
        return exitCode;
    try {
        const yuccachute::admin_process process(*options);
        yuccachute::waitForStopSignal();
    } catch (const std::exception& error) {
        std::cerr << "yuccachute-admin: " << error.what() << '\n';
        exitCode = 1;
    }
    yuccachute::stopLogging();
    return exitCode;
}
