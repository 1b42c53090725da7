#pragma once

#include "messages/messages.h"
#include "peer.pb.h"

/// Conversions between the message types of libs/messages and the protobuf types generated from
/// libs/wire/proto. Layer: protocol. No I/O.
namespace yuccachute {

/// Points in time are sent as durations from `now`, because clocks differ.
void toWire(const envelope& message, steady_time now, peer::Envelope& out);
envelope fromWire(const peer::Envelope& in, steady_time now);

void toWire(const member_info& member, peer::Member& out);
member_info fromWire(const peer::Member& in);

void toWire(const gossip_message& message, peer::Digest& out);
gossip_message fromWire(const peer::Digest& in);

void toWire(const settings_update& update, peer::Settings& out);
settings_update fromWire(const peer::Settings& in);

/// If `allowCompression` is set, the entries of large updates are compressed. A list of 3,000 targets has 900
/// KB, and when a whole fleet starts, every process requests it at once.
void toWire(const section_update& update, bool allowCompression, peer::Section& out);
/// Fails if the compressed entries cannot be decoded.
result<section_update> fromWire(const peer::Section& in);
void toWire(const sync_question& question, peer::SyncRequest& out);
sync_question fromWire(const peer::SyncRequest& in);
/// `allowCompression` is the value that the question sent in `takes_packed`.
void toWire(const sync_answer& answer, bool allowCompression, peer::SyncReply& out);
/// Leaves out sections that cannot be decoded; they are requested again in the next round.
sync_answer fromWire(const peer::SyncReply& in);

} // namespace yuccachute
