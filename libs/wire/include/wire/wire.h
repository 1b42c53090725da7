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

void toWire(const section_update& update, peer::Section& out);
section_update fromWire(const peer::Section& in);
void toWire(const sync_question& question, peer::SyncRequest& out);
sync_question fromWire(const peer::SyncRequest& in);
void toWire(const sync_answer& answer, peer::SyncReply& out);
sync_answer fromWire(const peer::SyncReply& in);

} // namespace yuccachute
