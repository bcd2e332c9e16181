/// \file
/// Frames between VMs: whole, cut, changed and foreign ones.

#include "masticproxy/Cluster"
#include "masticproxy/Wire"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace masticproxy;

namespace {

member_info anyMember() {
  member_info Member;
  Member.Name = *rc::gen::arbitrary<std::string>();
  Member.DataCentre = *rc::gen::arbitrary<std::string>();
  Member.PeerAddress = *rc::gen::arbitrary<std::string>();
  Member.Incarnation = *rc::gen::arbitrary<std::uint64_t>();
  Member.State = static_cast<member_state>(*rc::gen::inRange(0, 4));
  return Member;
}

configuration_record anyRecord() {
  configuration_record Record;
  Record.Kind = *rc::gen::element<std::string>("profile", "index");
  Record.Name = *rc::gen::arbitrary<std::string>();
  Record.Version = *rc::gen::arbitrary<std::uint64_t>();
  Record.Deleted = *rc::gen::arbitrary<bool>();
  Record.Value = *rc::gen::arbitrary<std::string>();
  return Record;
}

peer_message anyMessage() {
  int Count = *rc::gen::inRange(0, 5);
  switch (*rc::gen::inRange(0, 5)) {
  case 0: {
    heartbeat Message;
    Message.Sender = anyMember();
    Message.Sequence = *rc::gen::arbitrary<std::uint64_t>();
    Message.ConfigurationRevision = *rc::gen::arbitrary<std::uint64_t>();
    Message.ConfigurationDigest = *rc::gen::arbitrary<std::uint64_t>();
    Message.Platform =
        *rc::gen::element(platform_contact::NotWatching,
                          platform_contact::Watching, platform_contact::Lost);
    Message.MembersDigest = *rc::gen::arbitrary<std::uint64_t>();
    Message.Receiver.Incarnation = *rc::gen::arbitrary<std::uint64_t>();
    Message.Receiver.State = anyMember().State;
    Message.Receiver.Counted = *rc::gen::arbitrary<bool>();
    for (int I = 0; I < Count; ++I)
      Message.Members.push_back(anyMember());
    return Message;
  }
  case 1: {
    configuration_push Message;
    Message.Revision = *rc::gen::arbitrary<std::uint64_t>();
    Message.AfterRevision = *rc::gen::arbitrary<std::uint64_t>();
    for (int I = 0; I < Count; ++I)
      Message.Records.push_back(anyRecord());
    return Message;
  }
  case 2:
    return poison_notice{
        *rc::gen::arbitrary<std::uint64_t>(),
        *rc::gen::arbitrary<std::uint32_t>(),
        *rc::gen::arbitrary<std::string>(),
        std::chrono::milliseconds(*rc::gen::inRange(0, 1000000)),
        *rc::gen::arbitrary<bool>(),
        std::chrono::milliseconds(*rc::gen::inRange(0, 1000000)),
        *rc::gen::arbitrary<std::vector<std::string>>()};
  case 3:
    return drain_notice{
        *rc::gen::arbitrary<std::string>(),
        std::chrono::milliseconds(*rc::gen::inRange(0, 1000000))};
  default:
    return configuration_pull{*rc::gen::arbitrary<std::uint64_t>(),
                              *rc::gen::arbitrary<std::string>()};
  }
}

} // namespace

Test(frames, carry_any_message_in_any_pieces) {
  cr_assert(rc::check([] {
    peer_message Message = anyMessage();
    hybrid_time Stamp{*rc::gen::arbitrary<std::int64_t>(),
                      *rc::gen::arbitrary<std::uint32_t>()};
    std::string Frame = makeFrame(encodePeerMessage(Message, Stamp));
    frame_reader Reader;
    std::size_t Cut = *rc::gen::inRange<std::size_t>(0, Frame.size());
    Reader.append(std::string_view(Frame).substr(0, Cut));
    RC_ASSERT(!Reader.next());
    Reader.append(std::string_view(Frame).substr(Cut));
    auto Payload = Reader.next();
    RC_ASSERT(Payload && std::holds_alternative<std::string>(*Payload));
    auto Decoded = decodePeerFrame(std::get<std::string>(*Payload));
    RC_ASSERT(std::get<peer_frame>(Decoded).Message == Message);
    RC_ASSERT(std::get<peer_frame>(Decoded).Stamp == Stamp);
  }));
}

Test(frames, refuse_a_changed_payload) {
  std::string Frame =
      makeFrame(encodePeerMessage(configuration_pull{7, "a"}, {}));
  Frame.back() = static_cast<char>(Frame.back() ^ 1);
  frame_reader Reader;
  Reader.append(Frame);
  cr_assert(std::get<frame_error>(*Reader.next()) ==
            frame_error::WrongChecksum);
}

Test(frames, refuse_another_version_and_a_length_beyond_the_limit) {
  std::string Frame = makeFrame("x");
  std::string Foreign = Frame;
  Foreign[4] = 99;
  frame_reader Versions;
  Versions.append(Foreign);
  cr_assert(std::get<frame_error>(*Versions.next()) ==
            frame_error::WrongVersion);
  std::string Long = Frame;
  Long[3] = 0x7f;
  frame_reader Lengths;
  Lengths.append(Long);
  cr_assert(std::get<frame_error>(*Lengths.next()) == frame_error::TooLong);
}

Test(frames, refuse_any_bytes_that_are_no_message_without_harm) {
  cr_assert(rc::check([] {
    auto Bytes = *rc::gen::arbitrary<std::string>();
    auto Decoded = decodePeerFrame(Bytes);
    if (auto *Error = std::get_if<frame_error>(&Decoded))
      RC_ASSERT(*Error == frame_error::Malformed);
  }));
}
