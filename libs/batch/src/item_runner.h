#pragma once

#include "job_holder.h"

namespace yuccachute {

/// Runs items in spare capacity: asks for bulk grants, streams from targets, gives way when told to.
class item_runner {
public:
    item_runner(job_holder& holder, grant_client& grants, const settings_cell& settings, std::string zone,
        metrics& figures);

    /// Runs one item if there is one; returns whether there was.
    bool runOne();

private:
    result<held_grant> findPlace(const work_item& item);
    item_outcome runOn(const work_item& item, const held_grant& place);
    static item_outcome judge(const attempt_outcome& attempt, std::string text, bool revoked);

    job_holder& m_holder;
    grant_client& m_grants;
    const settings_cell& m_settings;
    std::string m_zone;
    metrics& m_figures;
};

} // namespace yuccachute
