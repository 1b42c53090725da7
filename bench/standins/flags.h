#pragma once

#include <tclap/CmdLine.h>

#include <csignal>
#include <string>

/// Flags and stopping of the stand-ins.
namespace yuccachute::standin {

/// Blocks the stop signals in this and all later threads. Call it first.
inline sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

inline void waitForStop(const sigset_t& signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace yuccachute::standin
