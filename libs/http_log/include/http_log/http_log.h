#pragma once

/// Connects the HTTP library to the log. Layer: transport.
namespace yuccachute {

/// Writes what clients and listeners of this process report to the log. To be called after startLogging() and
/// before the first client or listener is created.
void logHttpReports();

} // namespace yuccachute
