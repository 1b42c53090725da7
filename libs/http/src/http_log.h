#pragma once

#include "http/http.h"

namespace yuccachute {

/// The functions set by setHttpLog(); ones that do nothing before.
const http_log& currentHttpLog();

} // namespace yuccachute
