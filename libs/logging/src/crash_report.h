#pragma once

#include <string_view>

namespace yuccachute {

/// Writes one log line with the signal and the stack when the process ends by an invalid memory access, an
/// illegal instruction, an arithmetic error or abort(); the signal then ends the process as usual. `names`
/// are the fields that each line of the log begins with, as JSON without braces.
void reportCrashes(std::string_view names);

} // namespace yuccachute
