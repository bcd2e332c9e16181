#include "masticproxy/src/Wire/peer_codec.h"

#include "masticproxy/generated/peer_generated.h"

using namespace masticproxy;

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

std::string text(const flatbuffers::String *Text) {
  return Text ? Text->str() : std::string();
}

/// Of a notice; an older one was made by a sender gone wrong.
constexpr std::uint64_t LongestAge =
    std::chrono::milliseconds(std::chrono::hours(24)).count();

/// An empty text takes no bytes.
Offset<flatbuffers::String> packText(FlatBufferBuilder &Out,
                                     const std::string &Text) {
  return Text.empty() ? Offset<flatbuffers::String>() : Out.CreateString(Text);
}

Offset<wire::Member> packMember(FlatBufferBuilder &Out, const member_info &M) {
  auto Name = Out.CreateString(M.Name);
  auto DataCentre = packText(Out, M.DataCentre);
  auto PeerAddress = packText(Out, M.PeerAddress);
  return wire::CreateMember(Out, Name, DataCentre, PeerAddress, M.Incarnation,
                            static_cast<std::uint8_t>(M.State));
}

member_info unpackMember(const wire::Member &M) {
  member_info Info;
  Info.Name = text(M.name());
  Info.DataCentre = text(M.data_centre());
  Info.PeerAddress = text(M.peer_address());
  Info.Incarnation = M.incarnation();
  Info.State = static_cast<member_state>(M.state());
  return Info;
}

bool isKnown(member_state State) {
  return static_cast<std::uint8_t>(State) <=
         static_cast<std::uint8_t>(member_state::Dead);
}

/// Packs each kind of message; \returns its union type and offset.
struct packer {
  FlatBufferBuilder &Out;

  std::pair<wire::PeerBody, Offset<void>> operator()(const heartbeat &M) {
    std::vector<Offset<wire::Member>> Members;
    for (const member_info &Member : M.Members)
      Members.push_back(packMember(Out, Member));
    auto Sender = packMember(Out, M.Sender);
    Offset<flatbuffers::Vector<Offset<wire::Member>>> List;
    if (!Members.empty())
      List = Out.CreateVector(Members);
    auto Packed = wire::CreateHeartbeat(
        Out, Sender, M.Sequence, List, M.ConfigurationRevision,
        M.ConfigurationDigest, static_cast<std::uint8_t>(M.Platform),
        M.Receiver.Incarnation, static_cast<std::uint8_t>(M.Receiver.State),
        M.Receiver.Counted, M.MembersDigest);
    return {wire::PeerBody::Heartbeat, Packed.Union()};
  }

  std::pair<wire::PeerBody, Offset<void>>
  operator()(const configuration_push &M) {
    std::vector<Offset<wire::ConfigurationRecord>> Records;
    for (const configuration_record &R : M.Records)
      Records.push_back(wire::CreateConfigurationRecord(
          Out, Out.CreateString(R.Kind), Out.CreateString(R.Name), R.Version,
          R.Deleted, Out.CreateString(R.Value)));
    auto Packed = wire::CreateConfigurationPush(
        Out, M.Revision, M.AfterRevision, Out.CreateVector(Records));
    return {wire::PeerBody::ConfigurationPush, Packed.Union()};
  }

  std::pair<wire::PeerBody, Offset<void>>
  operator()(const configuration_pull &M) {
    auto Packed = wire::CreateConfigurationPull(Out, M.AfterRevision,
                                                Out.CreateString(M.ReplyTo));
    return {wire::PeerBody::ConfigurationPull, Packed.Union()};
  }

  std::pair<wire::PeerBody, Offset<void>> operator()(const poison_notice &M) {
    auto Packed = wire::CreatePoisonNotice(
        Out, M.Fingerprint, M.Rounds, Out.CreateString(M.Shard),
        static_cast<std::uint64_t>(M.Age.count()), M.HalfRound,
        static_cast<std::uint64_t>(M.Span.count()),
        Out.CreateVectorOfStrings(M.Processes));
    return {wire::PeerBody::PoisonNotice, Packed.Union()};
  }

  std::pair<wire::PeerBody, Offset<void>> operator()(const drain_notice &M) {
    auto Packed =
        wire::CreateDrainNotice(Out, Out.CreateString(M.Upstream),
                                static_cast<std::uint64_t>(M.Age.count()));
    return {wire::PeerBody::DrainNotice, Packed.Union()};
  }
};

std::variant<peer_message, frame_error> unpack(const wire::Heartbeat &M) {
  heartbeat Result;
  Result.Sender = unpackMember(*M.sender());
  Result.Sequence = M.sequence();
  Result.ConfigurationRevision = M.configuration_revision();
  Result.ConfigurationDigest = M.configuration_digest();
  Result.Platform = static_cast<platform_contact>(M.platform());
  Result.MembersDigest = M.members_digest();
  Result.Receiver.Incarnation = M.receiver_incarnation();
  Result.Receiver.State = static_cast<member_state>(M.receiver_state());
  Result.Receiver.Counted = M.receiver_counted();
  bool Valid = isKnown(Result.Sender.State) && isKnown(Result.Receiver.State) &&
               Result.Platform <= platform_contact::Lost;
  if (M.members())
    for (const wire::Member *Member : *M.members()) {
      Result.Members.push_back(unpackMember(*Member));
      Valid = Valid && isKnown(Result.Members.back().State);
    }
  if (!Valid)
    return frame_error::Malformed;
  return peer_message(std::move(Result));
}

std::variant<peer_message, frame_error>
unpack(const wire::ConfigurationPush &M) {
  configuration_push Result;
  Result.Revision = M.revision();
  Result.AfterRevision = M.after_revision();
  if (M.records())
    for (const wire::ConfigurationRecord *R : *M.records())
      Result.Records.push_back({text(R->kind()), text(R->name()), R->version(),
                                R->deleted(), text(R->value())});
  return peer_message(std::move(Result));
}

std::variant<peer_message, frame_error>
unpack(const wire::ConfigurationPull &M) {
  return peer_message(
      configuration_pull{M.after_revision(), text(M.reply_to())});
}

std::variant<peer_message, frame_error> unpack(const wire::PoisonNotice &M) {
  if (M.age_ms() > LongestAge || M.span_ms() > LongestAge)
    return frame_error::Malformed;
  poison_notice Notice{M.fingerprint(), M.rounds(),
                       text(M.shard()), std::chrono::milliseconds(M.age_ms()),
                       M.half_round(),  std::chrono::milliseconds(M.span_ms())};
  // A VM of an older version sends none.
  if (M.processes())
    for (const flatbuffers::String *Process : *M.processes())
      Notice.Processes.push_back(text(Process));
  return peer_message(std::move(Notice));
}

std::variant<peer_message, frame_error> unpack(const wire::DrainNotice &M) {
  if (M.age_ms() > LongestAge)
    return frame_error::Malformed;
  return peer_message(
      drain_notice{text(M.upstream()), std::chrono::milliseconds(M.age_ms())});
}

std::variant<peer_message, frame_error>
unpackBody(const wire::PeerEnvelope &Envelope) {
  switch (Envelope.body_type()) {
  case wire::PeerBody::Heartbeat:
    return unpack(*Envelope.body_as_Heartbeat());
  case wire::PeerBody::ConfigurationPush:
    return unpack(*Envelope.body_as_ConfigurationPush());
  case wire::PeerBody::ConfigurationPull:
    return unpack(*Envelope.body_as_ConfigurationPull());
  case wire::PeerBody::PoisonNotice:
    return unpack(*Envelope.body_as_PoisonNotice());
  case wire::PeerBody::DrainNotice:
    return unpack(*Envelope.body_as_DrainNotice());
  case wire::PeerBody::NONE:
    break;
  }
  return frame_error::Malformed;
}

} // namespace

std::string masticproxy::encodePeerMessage(const peer_message &Message,
                                           const hybrid_time &Stamp) {
  FlatBufferBuilder Out;
  auto [Type, Body] = std::visit(packer{Out}, Message);
  wire::Stamp Packed(Stamp.Microseconds, Stamp.Counter);
  Out.Finish(wire::CreatePeerEnvelope(Out, Type, Body, &Packed));
  return std::string(reinterpret_cast<const char *>(Out.GetBufferPointer()),
                     Out.GetSize());
}

std::variant<peer_frame, frame_error>
masticproxy::decodePeerFrame(std::string_view Payload) {
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Payload.data());
  flatbuffers::Verifier Verifier(Bytes, Payload.size());
  if (!wire::VerifyPeerEnvelopeBuffer(Verifier))
    return frame_error::Malformed;
  const wire::PeerEnvelope *Envelope = wire::GetPeerEnvelope(Bytes);
  std::variant<peer_message, frame_error> Body = unpackBody(*Envelope);
  if (auto *Error = std::get_if<frame_error>(&Body))
    return *Error;
  peer_frame Frame;
  Frame.Message = std::move(std::get<peer_message>(Body));
  if (const wire::Stamp *Stamp = Envelope->stamp())
    Frame.Stamp = {Stamp->microseconds(), Stamp->counter()};
  return Frame;
}
