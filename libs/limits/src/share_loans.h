#pragma once

#include "limits/limits.h"

#include <deque>

namespace yuccachute {

/// What this process has lent of the part that it owns.
class share_lender {
public:
    struct terms {
        double owned = 0;
        bool keepsShare = false; ///< The lender grants, too.
        milliseconds validFor { 0 };
    };
    struct loan {
        double share = 0;
        double added = 0; ///< Of that, what the borrower cannot have any more from before.
    };

    /// Lends to a process the same share as to the others that have asked lately, as far as it is there.
    loan lend(const std::string& borrower, const terms& terms, steady_time now);
    /// The borrower has ended, and its loans with it.
    void forget(std::string_view borrower);
    /// What may be in use by others.
    double lent(steady_time now);
    /// How many processes have asked for loans lately.
    double borrowers(steady_time now) const;
    /// Whether a process is one of them.
    bool lendsTo(std::string_view borrower, steady_time now) const;

private:
    struct promise {
        double share;
        steady_time until;
    };
    struct borrower_state {
        std::deque<promise> promises; ///< The largest first, each later one lasting longer.
        steady_time asksUntil; ///< Counts as a borrower so long.

        double lent() const { return promises.empty() ? 0 : promises.front().share; }
    };

    void forgetPast(steady_time now);

    std::map<std::string, borrower_state, std::less<>> m_borrowers; ///< By VM.
};

/// What this process has borrowed.
class share_borrower {
public:
    /// Whether the loan is the lender's newest, and still valid.
    bool take(const std::string& lender, const share_loan& loan, steady_time now);
    /// The lender has started anew: it knows nothing of what it has lent.
    void forget(std::string_view lender);
    double borrowed(steady_time now);

private:
    struct loan_state {
        double share;
        std::uint64_t requestStamp;
        steady_time until;
    };

    std::map<std::string, loan_state, std::less<>> m_loans; ///< By VM of the lender.
};

std::uint64_t toStamp(steady_time time);
/// When a borrower stops using what it asked for at a time: some time before its end.
steady_time loanEnd(std::uint64_t requestStamp, milliseconds validFor);

} // namespace yuccachute
