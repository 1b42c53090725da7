#pragma once

#include <boost/outcome.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

/// Errors of the whole system. Each failure says whether the request may have run at its target, because
/// that alone decides whether it may be sent again. Layer: state.
namespace yuccachute {

/// Clock of every decision. Deciding functions take a time point as an argument and never read the clock.
using steady_time = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Whether a request that ended in an error may have had an effect.
enum class verdict : std::uint8_t {
    not_run, ///< Nothing reached a target, or the target refused before running. Safe to send again.
    may_have_run, ///< The outcome is unknown. Only an idempotent request may be sent again.
    done ///< The request ran and its outcome is final.
};

/// Kind of a failure, in the terms of the callers' API.
enum class failure_kind : std::uint8_t {
    bad_request, ///< The caller's input is wrong; the message names the field or line.
    unauthorized, ///< No key, or an unknown key.
    forbidden, ///< The key or token is known and not entitled to this.
    not_found,
    conflict, ///< The thing to change has changed since it was read.
    gone, ///< It existed and has expired.
    too_large,
    limited, ///< A limit of the customer is used up; retryAfter says when to come back.
    overloaded, ///< No room before the timeout; retryAfter says when to come back.
    unavailable, ///< A target, a peer or the store cannot be reached.
    timeout,
    cancelled,
    incomplete, ///< An answer ended before it was whole.
    internal
};

/// A typed error.
struct failure {
    verdict ran = verdict::not_run;
    failure_kind kind = failure_kind::internal;
    std::string message;
    /// When the caller should come back; zero if asking again is pointless.
    milliseconds retryAfter { 0 };
};

/// Outcome of a call: a value or a failure.
template <typename T>
using result
    = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, failure, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Returns "not_run", "may_have_run" or "done", as in the callers' JSON.
std::string_view toString(verdict ran);

/// Returns the kind's name, as in the callers' JSON.
std::string_view toString(failure_kind kind);

/// Returns the HTTP status that answers a failure of this kind.
unsigned httpStatus(failure_kind kind);

/// Shorthand for a failure that never reached a target.
failure notRun(failure_kind kind, std::string message, milliseconds retryAfter = milliseconds { 0 });

/// Shorthand for a failure whose outcome at the target is unknown.
failure mayHaveRun(failure_kind kind, std::string message);

} // namespace yuccachute
