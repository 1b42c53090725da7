#include "crash_report.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <dlfcn.h>
#include <execinfo.h>
#include <unistd.h>

namespace yuccachute {

namespace {

constexpr int mostFrames = 48;
/// A trap of the compiler raises SIGILL on x86-64 and SIGTRAP on arm64.
constexpr std::array crashSignals { SIGSEGV, SIGILL, SIGTRAP, SIGBUS, SIGFPE, SIGABRT };

/// What a handler may use: nothing is allocated after the start.
std::array<char, 512> lineNames {};
std::array<char, 64 * 1024> handlerStack {};

/// A line that is put together without allocating.
class crash_line {
public:
    void text(std::string_view part)
    {
        const auto length = std::min(part.size(), m_bytes.size() - m_used);
        std::copy_n(part.data(), length, m_bytes.data() + m_used);
        m_used += length;
    }
    void hexadecimal(std::uintptr_t value)
    {
        std::array<char, 2 * sizeof value> digits {};
        std::size_t count = 0;
        do {
            digits[count++] = "0123456789abcdef"[value & 15];
            value >>= 4;
        } while (value != 0);
        text("0x");
        while (count > 0)
            text({ &digits[--count], 1 });
    }
    void decimal(int value)
    {
        if (value >= 10)
            decimal(value / 10);
        const char digit = static_cast<char>('0' + value % 10);
        text({ &digit, 1 });
    }
    /// "FILE+0xOFFSET", as addr2line takes it.
    void place(void* address)
    {
        Dl_info found {};
        const auto value = reinterpret_cast<std::uintptr_t>(address);
        if (dladdr(address, &found) == 0 || !found.dli_fname)
            return hexadecimal(value);
        const char* slash = std::strrchr(found.dli_fname, '/');
        text(slash ? slash + 1 : found.dli_fname);
        text("+");
        hexadecimal(value - reinterpret_cast<std::uintptr_t>(found.dli_fbase));
    }
    void write() const
    {
        // Nothing can be done if the output is gone: the process ends in any case.
        [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, m_bytes.data(), m_used);
    }

private:
    std::array<char, 8192> m_bytes {};
    std::size_t m_used = 0;
};

void crashed(int signal, siginfo_t* info, void*)
{
    std::array<void*, mostFrames> frames {};
    const int count = backtrace(frames.data(), mostFrames);
    crash_line line;
    line.text("{\"level\":\"critical\",");
    line.text(lineNames.data());
    line.text(",\"event\":\"crashed\",\"signal\":");
    line.decimal(signal);
    line.text(",\"at\":\"");
    line.place(signal == SIGABRT ? nullptr : info->si_addr);
    line.text("\",\"stack\":[");
    for (int i = 0; i < count; ++i) {
        line.text(i > 0 ? ",\"" : "\"");
        line.place(frames[static_cast<std::size_t>(i)]);
        line.text("\"");
    }
    line.text("]}\n");
    line.write();
    // The handler was reset on entry: the signal's usual action follows.
    ::raise(signal);
}

} // namespace

void reportCrashes(std::string_view names)
{
    const auto length = std::min(names.size(), lineNames.size() - 1);
    std::copy_n(names.data(), length, lineNames.data());
    // The first call loads a library, which a handler must not do.
    std::array<void*, 1> frame {};
    backtrace(frame.data(), 1);
    // A stack of its own, because the thread's may be what has overflowed. Only the starting thread has it.
    stack_t stack {};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action { };
    action.sa_sigaction = crashed;
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_RESETHAND | SA_ONSTACK | SA_NODEFER);
    for (const int signal : crashSignals)
        sigaction(signal, &action, nullptr);
}

} // namespace yuccachute
