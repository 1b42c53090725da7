#include "wire/wire.h"

#include "jobs/jobs.h"

#include <algorithm>
#include <limits>

namespace yuccachute {

namespace {

std::uint64_t millisecondsUntil(steady_time time, steady_time now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(time - now).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, left));
}

/// The count of a time, or the nearest one that 32 bits hold.
template <typename Duration> std::uint32_t durationToWire(Duration time)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, most));
}

/// Longer than any time that this project measures or waits. Far longer times overflow when they are added to
/// the present time in nanoseconds.
constexpr std::chrono::hours maxDuration { 365 * 24 };

milliseconds durationFromWire(std::uint64_t ms)
{
    constexpr auto most = static_cast<std::uint64_t>(milliseconds { maxDuration }.count());
    return milliseconds { static_cast<std::int64_t>(std::min(ms, most)) };
}

void toWire(const ask_message& message, steady_time now, peer::Ask& out)
{
    const auto& request = message.ask;
    out.set_id(request.id);
    out.set_group(message.group);
    out.set_customer(request.customer);
    out.set_work_class(static_cast<std::uint32_t>(request.workClass));
    out.set_weight(static_cast<float>(request.weight));
    out.set_queue_limit(request.queueLimit);
    out.set_cost(static_cast<float>(request.cost));
    for (auto prefix : request.prefixes)
        out.add_prefixes(prefix);
    out.set_avoid(request.avoid);
    out.set_wait_ms(durationToWire(std::chrono::duration_cast<milliseconds>(request.deadline - now)));
    out.set_due_in_ms(millisecondsUntil(request.due, now));
    out.set_hold_ms(durationToWire(request.hold));
    out.set_at_once(request.immediate);
    out.set_request_id(request.requestId);
    out.set_begun(request.begun);
    out.set_remaining_events(static_cast<float>(request.remainingEvents));
    out.set_produced_events(request.producedEvents);
    out.set_age_ms(durationToWire(request.age));
    out.set_max_event_interval_ms(durationToWire(request.maxEventInterval));
    if (request.version)
        out.set_version(*request.version);
}

ask_message fromWire(const peer::Ask& in, steady_time now)
{
    ask_message message;
    message.group = in.group();
    auto& request = message.ask;
    request.id = in.id();
    request.customer = in.customer();
    request.workClass = in.work_class() == 0 ? work_class::live : work_class::bulk;
    request.weight = in.weight();
    request.queueLimit = in.queue_limit();
    request.cost = in.cost();
    request.prefixes.assign(in.prefixes().begin(), in.prefixes().end());
    request.avoid = in.avoid();
    request.deadline = now + milliseconds { in.wait_ms() };
    request.hold = milliseconds { in.hold_ms() };
    request.immediate = in.at_once();
    request.requestId = in.request_id();
    request.begun = in.begun();
    request.remainingEvents = in.remaining_events();
    request.producedEvents = in.produced_events();
    request.age = milliseconds { in.age_ms() };
    request.maxEventInterval = milliseconds { in.max_event_interval_ms() };
    request.due = now + durationFromWire(in.due_in_ms());
    if (in.has_version())
        request.version = in.version();
    return message;
}

void toWire(const stream_origin& origin, peer::StreamOrigin& out)
{
    out.set_stream_id(origin.streamId);
    out.set_service(origin.service);
    out.set_version(origin.version);
}

stream_origin fromWire(const peer::StreamOrigin& in)
{
    return { in.stream_id(), in.service(), in.version() };
}

/// A kind that only newer versions know is no evidence.
version_evidence evidenceFromWire(const peer::OriginAnswer& in)
{
    if (in.versions_known() > static_cast<std::uint32_t>(version_evidence::kind::several))
        return {};
    return { static_cast<version_evidence::kind>(in.versions_known()), in.version() };
}

void toWire(const share_request& request, peer::LimitMessage& out)
{
    auto& wire = *out.mutable_share_ask();
    wire.set_stamp(request.stamp);
    wire.set_borrows(request.borrows);
    wire.set_hears_most(request.reachability.hasMajority);
    for (const auto& vm : request.reachability.unresponsive)
        wire.add_silent(vm);
}

void toWire(const share_loan& loan, peer::LimitMessage& out)
{
    auto& wire = *out.mutable_share_loan();
    wire.set_borrower_incarnation(loan.borrowerIncarnation);
    wire.set_ask_stamp(loan.requestStamp);
    wire.set_valid_ms(durationToWire(loan.validFor));
    wire.set_part(loan.share);
    wire.set_added(loan.added);
    wire.set_fill_percent(loan.fillPercent);
    for (const auto& fill : loan.emptier) {
        auto& element = *wire.add_emptier();
        element.set_customer(fill.customer);
        element.set_percent(fill.percent);
    }
    wire.set_settled(loan.settled);
    wire.set_wants_answer(loan.wantsAnswer);
}

void toWire(const token_request& request, peer::LimitMessage& out)
{
    auto& wire = *out.mutable_token_request();
    wire.set_stamp(request.stamp);
    for (const auto& level : request.levels) {
        auto& element = *wire.add_levels();
        element.set_customer(level.customer);
        element.set_tokens(static_cast<float>(level.tokens));
        element.set_capacity(static_cast<float>(level.capacity));
    }
}

void toWire(const token_transfer& transfer, peer::LimitMessage& out)
{
    auto& wire = *out.mutable_token_transfer();
    wire.set_request_stamp(transfer.requestStamp);
    wire.set_room_valid_ms(durationToWire(transfer.roomValidFor));
    for (const auto& tokens : transfer.tokens) {
        auto& element = *wire.add_tokens();
        element.set_customer(tokens.customer);
        element.set_tokens(tokens.tokens);
        element.set_room(tokens.room);
    }
}

share_request fromWire(const peer::ShareAsk& in)
{
    return { in.stamp(), in.borrows(), { in.hears_most(), { in.silent().begin(), in.silent().end() } } };
}

share_loan fromWire(const peer::ShareLoan& in)
{
    share_loan loan;
    loan.borrowerIncarnation = in.borrower_incarnation();
    loan.requestStamp = in.ask_stamp();
    loan.validFor = milliseconds { in.valid_ms() };
    loan.share = in.part();
    loan.added = in.added();
    loan.fillPercent = in.fill_percent();
    for (const auto& fill : in.emptier())
        loan.emptier.push_back({ fill.customer(), fill.percent() });
    loan.settled = in.settled();
    loan.wantsAnswer = in.wants_answer();
    return loan;
}

token_request fromWire(const peer::TokenRequest& in)
{
    token_request request { in.stamp(), {} };
    for (const auto& level : in.levels())
        request.levels.push_back({ level.customer(), level.tokens(), level.capacity() });
    return request;
}

token_transfer fromWire(const peer::TokenTransfer& in)
{
    token_transfer transfer { in.request_stamp(), milliseconds { in.room_valid_ms() }, {} };
    for (const auto& tokens : in.tokens())
        transfer.tokens.push_back({ tokens.customer(), tokens.tokens(), tokens.room() });
    return transfer;
}

void toWire(const limit_message& message, peer::LimitMessage& out)
{
    out.set_vm(message.vm);
    out.set_incarnation(message.incarnation);
    std::visit([&](const auto& body) { toWire(body, out); }, message.body);
}

/// Returns nothing for a message type that this version does not know.
std::optional<limit_message> fromWire(const peer::LimitMessage& in)
{
    const auto makeMessage = [&](limit_message_body body) {
        return limit_message { in.vm(), in.incarnation(), std::move(body) };
    };
    switch (in.body_case()) {
    case peer::LimitMessage::kShareAsk:
        return makeMessage(fromWire(in.share_ask()));
    case peer::LimitMessage::kShareLoan:
        return makeMessage(fromWire(in.share_loan()));
    case peer::LimitMessage::kTokenRequest:
        return makeMessage(fromWire(in.token_request()));
    case peer::LimitMessage::kTokenTransfer:
        return makeMessage(fromWire(in.token_transfer()));
    case peer::LimitMessage::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

void toWire(const envelope& message, steady_time now, peer::Envelope& out)
{
    for (const auto& request : message.asks)
        toWire(request, now, *out.add_asks());
    for (const auto& grant : message.grants) {
        auto& wire = *out.add_grants();
        wire.set_ask_id(grant.slotRequestId);
        wire.set_grant_id(grant.grantId);
        wire.set_target(grant.target);
        wire.set_address(grant.address);
        wire.set_waited_ms(durationToWire(grant.waited));
        if (grant.version)
            wire.set_version(*grant.version);
    }
    for (const auto& refusal : message.refusals) {
        auto& wire = *out.add_refusals();
        wire.set_ask_id(refusal.slotRequestId);
        wire.set_kind(static_cast<std::uint32_t>(refusal.reason.kind));
        wire.set_message(refusal.reason.message);
        wire.set_retry_after_ms(durationToWire(refusal.reason.retryAfter));
    }
    for (const auto& moved : message.moved) {
        auto& wire = *out.add_moved();
        wire.set_ask_id(moved.slotRequestId);
        wire.set_owner_address(moved.ownerAddress);
    }
    for (const auto& revoke : message.revokes) {
        auto& wire = *out.add_revokes();
        wire.set_group(revoke.group);
        wire.set_grant_id(revoke.grantId);
    }
    for (const auto& release : message.releases) {
        auto& wire = *out.add_releases();
        wire.set_group(release.group);
        wire.set_grant_id(release.release.grantId);
        wire.set_outcome(static_cast<std::uint32_t>(release.release.outcome));
        wire.set_first_token_ms(durationToWire(release.release.firstToken));
        wire.set_tokens(static_cast<float>(release.release.tokens));
        wire.set_events(release.release.events);
        wire.set_event_interval_us(durationToWire(release.release.eventInterval));
    }
    for (const auto& withdrawal : message.withdrawals) {
        auto& wire = *out.add_withdrawals();
        wire.set_group(withdrawal.group);
        wire.set_ask_id(withdrawal.slotRequestId);
    }
    for (const auto& element : message.limits)
        toWire(element, *out.add_limits());
    for (const auto& record : message.origins) {
        auto& wire = *out.add_origins();
        toWire(record.origin, wire);
        wire.set_valid_ms(durationToWire(record.validFor));
    }
    for (const auto& query : message.originQueries) {
        auto& wire = *out.add_origin_queries();
        wire.set_stream_id(query.streamId);
        wire.set_service(query.service);
        wire.set_lookback_ms(durationToWire(query.lookback));
    }
    for (const auto& answer : message.originAnswers) {
        auto& wire = *out.add_origin_answers();
        wire.set_stream_id(answer.streamId);
        if (answer.origin)
            toWire(*answer.origin, *wire.mutable_origin());
        wire.set_service(answer.service);
        wire.set_versions_known(static_cast<std::uint32_t>(answer.evidence.known));
        wire.set_version(answer.evidence.version);
    }
}

envelope fromWire(const peer::Envelope& in, steady_time now)
{
    envelope message;
    for (const auto& request : in.asks())
        message.asks.push_back(fromWire(request, now));
    for (const auto& grant : in.grants())
        message.grants.push_back({ 0, grant.ask_id(), grant.grant_id(), grant.target(), grant.address(),
            milliseconds { grant.waited_ms() },
            grant.has_version() ? std::optional(grant.version()) : std::nullopt });
    for (const auto& refusal : in.refusals()) {
        const auto kind = refusal.kind() <= static_cast<std::uint32_t>(failure_kind::internal)
            ? static_cast<failure_kind>(refusal.kind())
            : failure_kind::internal;
        message.refusals.push_back({ 0, refusal.ask_id(),
            notRun(kind, refusal.message(), milliseconds { refusal.retry_after_ms() }) });
    }
    for (const auto& moved : in.moved())
        message.moved.push_back({ moved.ask_id(), moved.owner_address() });
    for (const auto& revoke : in.revokes())
        message.revokes.push_back({ revoke.group(), revoke.grant_id() });
    for (const auto& release : in.releases()) {
        // An outcome that only newer versions know is treated as abandoned.
        const auto outcome = release.outcome() <= static_cast<std::uint32_t>(grant_outcome::unused)
            ? static_cast<grant_outcome>(release.outcome())
            : grant_outcome::abandoned;
        message.releases.push_back({ release.group(),
            { release.grant_id(), outcome, milliseconds { release.first_token_ms() }, release.tokens(),
                release.events(), std::chrono::microseconds { release.event_interval_us() } } });
    }
    for (const auto& withdrawal : in.withdrawals())
        message.withdrawals.push_back({ withdrawal.group(), withdrawal.ask_id() });
    for (const auto& element : in.limits()) {
        if (auto known = fromWire(element))
            message.limits.push_back(std::move(*known));
    }
    for (const auto& record : in.origins())
        message.origins.push_back({ fromWire(record), milliseconds { record.valid_ms() } });
    for (const auto& query : in.origin_queries())
        message.originQueries.push_back(
            { query.stream_id(), query.service(), milliseconds { query.lookback_ms() } });
    for (const auto& answer : in.origin_answers())
        message.originAnswers.push_back({ answer.stream_id(), answer.service(),
            answer.has_origin() ? std::optional(fromWire(answer.origin())) : std::nullopt,
            evidenceFromWire(answer) });
    return message;
}

void toWire(const member_info& member, peer::Member& out)
{
    out.set_vm(member.vm);
    out.set_zone(member.zone);
    out.set_address(member.address);
    out.set_batch_address(member.batchAddress);
    out.set_admin_address(member.adminAddress);
    out.set_incarnation(member.incarnation);
    out.set_heartbeat(member.heartbeat);
    out.set_leaving(member.leaving);
    out.set_settings_version(member.settingsVersion);
    out.set_others_version(member.otherProcessesVersion);
}

member_info fromWire(const peer::Member& in)
{
    return { in.vm(), in.zone(), in.address(), in.batch_address(), in.admin_address(), in.incarnation(),
        in.heartbeat(), in.leaving(), in.settings_version(), in.others_version() };
}

void toWire(const gossip_message& message, peer::Digest& out)
{
    out.set_zone(message.zone);
    std::int64_t highest = 0;
    for (const auto& note : message.notes)
        highest = std::max({ highest, note.settingsVersion, note.otherProcessesVersion });
    out.set_highest_version(highest);
    for (const auto& note : message.notes) {
        auto& wire = *out.add_notes();
        wire.set_id(note.id);
        wire.set_fingerprint(note.fingerprint);
        wire.set_heartbeat(note.heartbeat);
        wire.set_settings_behind(static_cast<std::uint64_t>(highest - note.settingsVersion));
        wire.set_others_behind(note.otherProcessesVersion == 0
                ? 0
                : static_cast<std::uint64_t>(highest - note.otherProcessesVersion) + 1);
        wire.set_leaving(note.leaving);
    }
    for (const auto& member : message.members)
        toWire(member, *out.add_members());
    for (auto id : message.wanted)
        out.add_wanted(id);
}

gossip_message fromWire(const peer::Digest& in)
{
    gossip_message message;
    message.zone = in.zone();
    for (const auto& note : in.notes()) {
        const auto others = note.others_behind() == 0
            ? 0
            : in.highest_version() - static_cast<std::int64_t>(note.others_behind()) + 1;
        message.notes.push_back({ note.id(), note.fingerprint(), note.heartbeat(),
            in.highest_version() - static_cast<std::int64_t>(note.settings_behind()), others,
            note.leaving() });
    }
    for (const auto& member : in.members())
        message.members.push_back(fromWire(member));
    message.wanted.assign(in.wanted().begin(), in.wanted().end());
    return message;
}

void toWire(const settings_update& update, peer::Settings& out)
{
    const auto& tree = update.changed;
    out.set_version(tree.version);
    out.set_based_on(update.basedOn);
    for (const auto& path : update.removed)
        out.add_removed(path);
    for (const auto& [path, node] : tree.nodes) {
        auto& wire = *out.add_nodes();
        wire.set_path(path);
        wire.set_revision(node.revision);
        for (const auto& [key, value] : node.values)
            (*wire.mutable_values())[key] = value;
    }
}

settings_update fromWire(const peer::Settings& in)
{
    settings_update update;
    update.basedOn = in.based_on();
    update.removed.assign(in.removed().begin(), in.removed().end());
    auto& tree = update.changed;
    tree.version = in.version();
    for (const auto& wire : in.nodes()) {
        auto& node = tree.nodes[wire.path()];
        node.revision = wire.revision();
        for (const auto& [key, value] : wire.values())
            node.values[key] = value;
    }
    return update;
}

namespace {

/// Below this size the fixed cost of a message exceeds the cost of its bytes, so compression saves nothing.
constexpr std::size_t compressionThresholdBytes = 4096;

void compressEntries(peer::Section& section)
{
    peer::Section uncompressed;
    uncompressed.mutable_entries()->Swap(section.mutable_entries());
    section.set_packed_entries(compress(uncompressed.SerializeAsString()));
}

result<peer::Section> decompressEntries(const std::string& compressed)
{
    BOOST_OUTCOME_TRY(auto bytes, decompress(compressed));
    peer::Section uncompressed;
    if (!uncompressed.ParseFromString(bytes))
        return mayHaveRun(failure_kind::incomplete, "the compressed entries of a section cannot be parsed");
    return uncompressed;
}

/// Versions without slices do not set the number of parts.
section_slice sliceFromWire(std::uint32_t parts, std::uint32_t part)
{
    return parts <= 1 ? section_slice {} : section_slice { parts, part };
}

void addEntries(const peer::Section& in, section_update& update)
{
    for (const auto& entry : in.entries())
        update.changed.emplace_back(entry.key(), entry.value(), entry.revision());
}

} // namespace

void toWire(const section_update& update, bool allowCompression, peer::Section& out)
{
    out.set_prefix(update.prefix);
    out.set_revision(update.revision);
    out.set_based_on(update.basedOn);
    out.set_keys_digest(update.keysDigest);
    out.set_parts(update.slice.parts);
    out.set_part(update.slice.part);
    std::size_t bytes = 0;
    for (const auto& entry : update.changed) {
        auto* added = out.add_entries();
        added->set_key(std::string(entry.key()));
        added->set_value(std::string(entry.value()));
        added->set_revision(entry.revision());
        bytes += entry.key().size() + entry.value().size();
    }
    for (const auto& key : update.removed)
        out.add_removed(key);
    if (allowCompression && bytes >= compressionThresholdBytes)
        compressEntries(out);
}

result<section_update> fromWire(const peer::Section& in)
{
    section_update update { in.prefix(), in.revision(), {}, in.based_on(), {}, in.keys_digest(),
        sliceFromWire(in.parts(), in.part()) };
    addEntries(in, update);
    if (!in.packed_entries().empty()) {
        BOOST_OUTCOME_TRY(auto decompressed, decompressEntries(in.packed_entries()));
        addEntries(decompressed, update);
    }
    update.removed.assign(in.removed().begin(), in.removed().end());
    return update;
}

namespace {

void toWire(const suspect_report& report, peer::Suspect& out)
{
    out.set_identity_high(report.identity.high);
    out.set_identity_low(report.identity.low);
    out.set_acquittals(report.record.acquittals);
    out.set_strikes(report.record.strikes);
    out.set_age_ms(static_cast<std::uint64_t>(report.age.count()));
    out.mutable_targets()->Add(report.targets.begin(), report.targets.end());
    out.set_trials(report.trials);
}

suspect_report fromWire(const peer::Suspect& in)
{
    return { { in.identity_high(), in.identity_low() }, { in.acquittals(), in.strikes() },
        durationFromWire(in.age_ms()), { in.targets().begin(), in.targets().end() }, in.trials() };
}

} // namespace

void toWire(const sync_question& question, peer::SyncRequest& out)
{
    for (const auto& section : question.known) {
        auto* added = out.add_known();
        added->set_prefix(section.prefix);
        added->set_revision(section.revision);
        added->set_parts(section.slice.parts);
        added->set_part(section.slice.part);
        added->set_seed(section.seed);
    }
    for (const auto& report : question.suspects)
        toWire(report, *out.add_suspects());
    out.set_suspects_digest(question.suspectsDigest);
    out.set_takes_packed(question.acceptsCompressed);
}

sync_question fromWire(const peer::SyncRequest& in)
{
    sync_question question;
    for (const auto& section : in.known())
        question.known.push_back({ section.prefix(), section.revision(),
            sliceFromWire(section.parts(), section.part()), section.seed() });
    for (const auto& report : in.suspects())
        question.suspects.push_back(fromWire(report));
    question.suspectsDigest = in.suspects_digest();
    question.acceptsCompressed = in.takes_packed();
    return question;
}

void toWire(const sync_answer& answer, bool allowCompression, peer::SyncReply& out)
{
    for (const auto& report : answer.suspects)
        toWire(report, *out.add_suspects());
    out.set_suspects_digest(answer.suspectsDigest);
    for (const auto& update : answer.newer)
        toWire(update, allowCompression, *out.add_newer());
    out.set_watches_store(answer.contact.watches);
    for (const auto& standing : answer.standings) {
        auto* added = out.add_standings();
        added->set_prefix(standing.prefix);
        added->set_revision(standing.revision);
        added->set_settled_revision(standing.settledRevision);
        added->set_unchanged_until(standing.unchangedUntil);
        added->set_age_ms(static_cast<std::uint64_t>(standing.age.count()));
    }
}

sync_answer fromWire(const peer::SyncReply& in)
{
    sync_answer answer;
    for (const auto& section : in.newer()) {
        if (auto update = fromWire(section))
            answer.newer.push_back(std::move(update.value()));
    }
    answer.contact.watches = in.watches_store();
    for (const auto& standing : in.standings())
        answer.standings.push_back({ standing.prefix(), standing.revision(), standing.settled_revision(),
            durationFromWire(standing.age_ms()), standing.unchanged_until() });
    for (const auto& report : in.suspects())
        answer.suspects.push_back(fromWire(report));
    answer.suspectsDigest = in.suspects_digest();
    return answer;
}

} // namespace yuccachute
