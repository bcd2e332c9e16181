#include "masticproxy/src/Wire/relay_codec.h"

#include "masticproxy/generated/peer_generated.h"

using namespace masticproxy;

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using packed_body = std::pair<wire::RelayBody, Offset<void>>;

/// Packs each kind of message; \returns its union type and offset.
struct relay_packer {
  FlatBufferBuilder &Out;

  packed_body operator()(const relay_request &M) {
    auto Packed = wire::CreateRelayRequest(
        Out, Out.CreateString(M.Origin), M.Incarnation, M.Attempt,
        Out.CreateString(M.RequestId), Out.CreateString(M.Index),
        Out.CreateString(M.Snapshot), Out.CreateString(M.Shard),
        Out.CreateString(M.Body ? *M.Body : std::string()), M.Remaining.count(),
        M.Idempotent);
    return {wire::RelayBody::RelayRequest, Packed.Union()};
  }

  packed_body operator()(const relay_cancel &M) {
    auto Packed = wire::CreateRelayCancel(Out, Out.CreateString(M.Origin),
                                          M.Incarnation, M.Attempt);
    return {wire::RelayBody::RelayCancel, Packed.Union()};
  }

  packed_body operator()(const relay_result &M) {
    auto Packed = wire::CreateRelayResult(
        Out, M.Attempt, Out.CreateString(M.Result.RequestId),
        Out.CreateString(M.Result.Snapshot), Out.CreateString(M.Result.Shard),
        Out.CreateString(M.Result.Body));
    return {wire::RelayBody::RelayResult, Packed.Union()};
  }

  packed_body operator()(const relay_refusal &M) {
    auto Packed = wire::CreateRelayRefusal(Out, M.Attempt,
                                           static_cast<std::uint8_t>(M.Reason));
    return {wire::RelayBody::RelayRefusal, Packed.Union()};
  }

  packed_body operator()(const relay_unknown &M) {
    return {wire::RelayBody::RelayUnknown,
            wire::CreateRelayUnknown(Out, M.Attempt).Union()};
  }

  packed_body operator()(const relay_ping &M) {
    return {wire::RelayBody::RelayPing,
            wire::CreateRelayPing(Out, M.Reply).Union()};
  }
};

relay_message unpack(const wire::RelayRequest &M) {
  relay_request Result;
  Result.Origin = M.origin()->str();
  Result.Incarnation = M.incarnation();
  Result.Attempt = M.attempt();
  Result.RequestId = M.request_id()->str();
  Result.Index = M.index()->str();
  Result.Snapshot = M.snapshot()->str();
  Result.Shard = M.shard()->str();
  Result.Body = std::make_shared<const std::string>(M.body()->str());
  Result.Remaining = std::chrono::microseconds(M.remaining_us());
  Result.Idempotent = M.idempotent();
  return Result;
}

relay_message unpack(const wire::RelayResult &M) {
  return relay_result{M.attempt(),
                      {M.request_id()->str(), M.snapshot()->str(),
                       M.shard()->str(), M.body()->str()}};
}

/// The longest time left that a request may state: no profile waits longer,
/// and sums with it stay in range.
constexpr std::chrono::minutes MaxRemaining{10};

std::optional<relay_message> unpackBody(const wire::RelayEnvelope &Envelope) {
  switch (Envelope.body_type()) {
  case wire::RelayBody::RelayRequest: {
    const wire::RelayRequest &M = *Envelope.body_as_RelayRequest();
    if (std::chrono::microseconds(M.remaining_us()) > MaxRemaining)
      return std::nullopt;
    return unpack(M);
  }
  case wire::RelayBody::RelayCancel: {
    const wire::RelayCancel &M = *Envelope.body_as_RelayCancel();
    return relay_cancel{M.origin()->str(), M.incarnation(), M.attempt()};
  }
  case wire::RelayBody::RelayResult:
    return unpack(*Envelope.body_as_RelayResult());
  case wire::RelayBody::RelayRefusal: {
    const wire::RelayRefusal &M = *Envelope.body_as_RelayRefusal();
    if (M.reason() > static_cast<std::uint8_t>(refusal_reason::NoUpstream))
      return std::nullopt;
    return relay_refusal{M.attempt(), static_cast<refusal_reason>(M.reason())};
  }
  case wire::RelayBody::RelayUnknown:
    return relay_unknown{Envelope.body_as_RelayUnknown()->attempt()};
  case wire::RelayBody::RelayPing:
    return relay_ping{Envelope.body_as_RelayPing()->reply()};
  case wire::RelayBody::NONE:
    break;
  }
  return std::nullopt;
}

} // namespace

std::string masticproxy::encodeRelayFrame(const relay_frame &Frame) {
  FlatBufferBuilder Out;
  auto [Type, Body] = std::visit(relay_packer{Out}, Frame.Message);
  wire::Stamp Stamp(Frame.Stamp.Microseconds, Frame.Stamp.Counter);
  Out.Finish(wire::CreateRelayEnvelope(Out, Type, Body, &Stamp));
  return std::string(reinterpret_cast<const char *>(Out.GetBufferPointer()),
                     Out.GetSize());
}

std::variant<relay_frame, frame_error>
masticproxy::decodeRelayFrame(std::string_view Payload) {
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Payload.data());
  flatbuffers::Verifier Verifier(Bytes, Payload.size());
  if (!Verifier.VerifyBuffer<wire::RelayEnvelope>(nullptr))
    return frame_error::Malformed;
  const auto *Envelope = flatbuffers::GetRoot<wire::RelayEnvelope>(Bytes);
  std::optional<relay_message> Message = unpackBody(*Envelope);
  if (!Message)
    return frame_error::Malformed;
  relay_frame Frame{{}, std::move(*Message)};
  if (const wire::Stamp *Stamp = Envelope->stamp())
    Frame.Stamp = {Stamp->microseconds(), Stamp->counter()};
  return Frame;
}
