#include "verdict/verdict.h"

namespace yuccachute {

std::string_view toString(verdict ran)
{
    switch (ran) {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::done:
        return "done";
    }
    return "may_have_run";
}

namespace {

struct failure_kind_info {
    std::string_view name;
    unsigned status;
};

failure_kind_info describe(failure_kind kind)
{
    switch (kind) {
    case failure_kind::bad_request:
        return { "bad_request", 400 };
    case failure_kind::unauthorized:
        return { "unauthorized", 401 };
    case failure_kind::forbidden:
        return { "forbidden", 403 };
    case failure_kind::not_found:
        return { "not_found", 404 };
    case failure_kind::conflict:
        return { "conflict", 409 };
    case failure_kind::gone:
        return { "gone", 410 };
    case failure_kind::too_large:
        return { "too_large", 413 };
    case failure_kind::limited:
        return { "limited", 429 };
    case failure_kind::overloaded:
        return { "overloaded", 503 };
    case failure_kind::unavailable:
        return { "unavailable", 503 };
    case failure_kind::timeout:
        return { "timeout", 504 };
    case failure_kind::cancelled:
        return { "cancelled", 499 };
    case failure_kind::incomplete:
        return { "incomplete", 502 };
    case failure_kind::internal:
        return { "internal", 500 };
    }
    return { "internal", 500 };
}

} // namespace

std::string_view toString(failure_kind kind)
{
    return describe(kind).name;
}

unsigned httpStatus(failure_kind kind)
{
    return describe(kind).status;
}

failure notRun(failure_kind kind, std::string message, milliseconds retryAfter)
{
    return { verdict::not_run, kind, std::move(message), retryAfter };
}

failure mayHaveRun(failure_kind kind, std::string message)
{
    return { verdict::may_have_run, kind, std::move(message), milliseconds { 0 } };
}

} // namespace yuccachute
