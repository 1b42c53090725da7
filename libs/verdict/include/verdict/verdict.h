#pragma once

#include <boost/outcome.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

/// Error types of the whole system. Each failure states whether the request may have run at its target,
/// because that determines whether it may be retried. Layer: state.
namespace yuccachute {

/// Clock used by all decision logic. Decision functions take a time point as an argument and never read the
/// clock.
using steady_time = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Whether a failed request may have had an effect.
enum class verdict : std::uint8_t {
    not_run, ///< No target received the request, or it refused it before running it. Safe to retry.
    may_have_run, ///< The outcome is unknown. Only an idempotent request may be retried.
    done ///< The request ran and its outcome is final.
};

/// Kinds of failures, as exposed in the callers' API.
enum class failure_kind : std::uint8_t {
    bad_request, ///< The caller's input is invalid; the message names the field or line.
    unauthorized, ///< No key, or an unknown key.
    forbidden, ///< The key or token is valid but lacks the permission.
    not_found,
    conflict, ///< The resource has been modified since it was read.
    gone, ///< The resource existed and has expired.
    too_large,
    limited, ///< A limit of the customer is exhausted; retryAfter says when to retry.
    overloaded, ///< No capacity before the timeout; retryAfter says when to retry.
    unavailable, ///< A target, a peer or the store is unreachable.
    timeout,
    cancelled,
    incomplete, ///< The response ended prematurely.
    internal
};

/// An error with its kind and the verdict on the failed request.
struct failure {
    verdict ran = verdict::not_run;
    failure_kind kind = failure_kind::internal;
    std::string message;
    /// Delay after which the caller should retry; zero if a retry is pointless.
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

/// Returns the HTTP status code for a failure of this kind.
unsigned httpStatus(failure_kind kind);

/// Creates a failure of a request that did not run at any target.
failure notRun(failure_kind kind, std::string message, milliseconds retryAfter = milliseconds { 0 });

/// Creates a failure of a request whose outcome at the target is unknown.
failure mayHaveRun(failure_kind kind, std::string message);

} // namespace yuccachute
