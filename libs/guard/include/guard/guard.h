#pragma once

#include "event_loop/event_loop.h"
#include "places/places.h"
#include "quarantine/quarantine.h"
#include "routing/routing.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Keeps requests that end their targets away from these. Layer: processes.
namespace yuccachute {

/// Finds out whether a target that broke off an answer has ended. On the loop's thread.
///
/// A broken connection proves nothing: some targets break off answers and live on, links fail, and a target
/// that is being stopped may end in the middle of its work. One that refuses connections just afterwards, or
/// is listed as another start at the same address, has ended.
class end_check {
public:
    using target_list = std::map<std::string, listed_target, std::less<>>;
    using callback = std::function<void(bool ended)>;

    end_check(event_loop& loop, load_source& loads);

    void setTargets(const target_list& targets, steady_time now);
    /// Exactly one answer comes, later: within a fraction of a second, or, from a target that does not
    /// answer at all, when the list of targets tells, or does not within seconds.
    void examine(const std::string& target, callback done);

private:
    struct examination {
        std::string target;
        std::string address;
        steady_time until; ///< When the list has had its time to tell.
        std::vector<callback> waiting;
        bool asked = false; ///< A question to the target is under way.
    };
    using examination_list = std::list<examination>;

    void ask(examination_list::iterator one);
    void answered(const std::string& target, const result<load_report>& report);
    void finish(examination_list::iterator one, bool ended);
    bool restarted(const examination& one) const;
    void expire(steady_time now);

    event_loop& m_loop;
    load_source& m_loads;
    target_list m_targets;
    examination_list m_examinations;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Answers may come after the end.
};

} // namespace yuccachute
