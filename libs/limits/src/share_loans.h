#pragma once

#include "limits/limits.h"

#include <deque>

namespace yuccachute {

/// Loans that this process has granted from the share that it owns.
class share_lender {
public:
    struct terms {
        double ownShare = 0;
        bool lenderGrants = false; ///< Whether the lender grants requests itself and keeps a portion.
        milliseconds validFor { 0 };
    };
    struct loan {
        double share = 0;
        double added = 0; ///< What exceeds the loans that the borrower may still hold from before.
    };

    /// Grants a process the same portion as each other process that requested loans lately, as far as it is
    /// not lent out.
    loan lend(const std::string& borrower, const terms& terms, steady_time now);
    /// Removes a borrower that has terminated, and its loans.
    void removePeer(std::string_view borrower);
    /// The share that borrowers may still use.
    double lent(steady_time now);
    /// Number of processes that requested loans lately.
    double borrowerCount(steady_time now) const;
    /// Whether a process has requested a loan lately.
    bool lendsTo(std::string_view borrower, steady_time now) const;

private:
    /// A share that the borrower may use until the given time.
    struct commitment {
        double share;
        steady_time until;
    };
    struct borrower_state {
        std::deque<commitment> commitments; ///< By decreasing share and increasing expiry.
        steady_time activeUntil; ///< Until when it counts as a borrower.

        double lent() const { return commitments.empty() ? 0 : commitments.front().share; }
    };

    void removeExpired(steady_time now);

    std::map<std::string, borrower_state, std::less<>> m_borrowers; ///< By VM.
};

/// Loans that this process has received.
class share_borrower {
public:
    /// Stores a loan. Returns false if it has expired or is not newer than the lender's last one.
    bool acceptLoan(const std::string& lender, const share_loan& loan, steady_time now);
    /// Removes the loan of a lender that has restarted and no longer knows of its loans.
    void removePeer(std::string_view lender);
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
/// When a borrower stops using the loan that it requested at `requestStamp`: shortly before the loan's end.
steady_time loanEnd(std::uint64_t requestStamp, milliseconds validFor);

} // namespace yuccachute
