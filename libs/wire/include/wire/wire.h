#pragma once

#include "messages/messages.h"
#include "peer.pb.h"

/// Conversions between the typed messages and the generated ones of libs/wire/proto. Layer: protocol. No I/O.
namespace yuccachute {

/// Times travel as durations from now, because clocks differ.
void toWire(const envelope& message, steady_time now, peer::Envelope& out);
envelope fromWire(const peer::Envelope& in, steady_time now);

void toWire(const member_info& member, peer::Member& out);
member_info fromWire(const peer::Member& in);

void toWire(const gossip_message& message, peer::Digest& out);
gossip_message fromWire(const peer::Digest& in);

void toWire(const settings_update& update, peer::Settings& out);
settings_update fromWire(const peer::Settings& in);

/// `pack`: large updates are compressed. A list of 3,000 targets has 900 KB, and when a whole fleet starts
/// each process asks for it at once.
void toWire(const section_update& update, bool pack, peer::Section& out);
/// Fails on packed entries that cannot be read.
result<section_update> fromWire(const peer::Section& in);
void toWire(const sync_question& question, peer::SyncRequest& out);
sync_question fromWire(const peer::SyncRequest& in);
/// `pack` as the asker said. A section that cannot be read is left out of the answer: it is asked for again.
void toWire(const sync_answer& answer, bool pack, peer::SyncReply& out);
sync_answer fromWire(const peer::SyncReply& in);

} // namespace yuccachute
