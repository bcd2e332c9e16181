/// \file
/// Relay messages: any of them comes back as it was, and foreign bytes do no
/// harm.

#include "masticproxy/Relay"
#include "masticproxy/Wire"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace masticproxy;

namespace {

template <typename T> T any() { return *rc::gen::arbitrary<T>(); }

relay_request anyRequest() {
  relay_request Request;
  Request.Origin = any<std::string>();
  Request.Incarnation = any<std::uint64_t>();
  Request.Attempt = any<std::uint64_t>();
  Request.RequestId = any<std::string>();
  Request.Index = any<std::string>();
  Request.Snapshot = any<std::string>();
  Request.Shard = any<std::string>();
  Request.Body = std::make_shared<const std::string>(any<std::string>());
  Request.Remaining = std::chrono::microseconds(*rc::gen::inRange(-9, 99999));
  Request.Idempotent = any<bool>();
  return Request;
}

bool same(const relay_request &A, const relay_request &B) {
  return A.Origin == B.Origin && A.Incarnation == B.Incarnation &&
         A.Attempt == B.Attempt && A.RequestId == B.RequestId &&
         A.Index == B.Index && A.Snapshot == B.Snapshot && A.Shard == B.Shard &&
         *A.Body == *B.Body && A.Remaining == B.Remaining &&
         A.Idempotent == B.Idempotent;
}

relay_frame carried(const relay_frame &Frame) {
  return std::get<relay_frame>(decodeRelayFrame(encodeRelayFrame(Frame)));
}

} // namespace

Test(relay_codec, carries_any_request_and_result) {
  cr_assert(rc::check([] {
    relay_frame Frame{{any<std::int64_t>(), any<std::uint32_t>()},
                      anyRequest()};
    relay_frame Back = carried(Frame);
    RC_ASSERT(Back.Stamp == Frame.Stamp);
    RC_ASSERT(same(std::get<relay_request>(Back.Message),
                   std::get<relay_request>(Frame.Message)));
    relay_result Result{any<std::uint64_t>(),
                        {any<std::string>(), any<std::string>(),
                         any<std::string>(), any<std::string>()}};
    auto Same = std::get<relay_result>(carried({{}, Result}).Message);
    RC_ASSERT(Same.Attempt == Result.Attempt);
    RC_ASSERT(Same.Result.RequestId == Result.Result.RequestId);
    RC_ASSERT(Same.Result.Snapshot == Result.Result.Snapshot);
    RC_ASSERT(Same.Result.Shard == Result.Result.Shard);
    RC_ASSERT(Same.Result.Body == Result.Result.Body);
  }));
}

Test(relay_codec, carries_the_short_messages) {
  relay_cancel Cancel{"vm", 3, 4};
  relay_refusal Refusal{5, refusal_reason::Leaving};
  cr_assert(std::get<relay_cancel>(carried({{}, Cancel}).Message) == Cancel);
  cr_assert(std::get<relay_refusal>(carried({{}, Refusal}).Message) == Refusal);
  cr_assert(std::get<relay_unknown>(carried({{}, relay_unknown{6}}).Message) ==
            relay_unknown{6});
  cr_assert(
      std::get<relay_ping>(carried({{}, relay_ping{true}}).Message).Reply);
}

Test(relay_codec, refuses_what_is_no_message) {
  cr_assert(rc::check([] {
    auto Decoded = decodeRelayFrame(any<std::string>());
    if (auto *Error = std::get_if<frame_error>(&Decoded))
      RC_ASSERT(*Error == frame_error::Malformed);
  }));
  relay_request Endless = {};
  Endless.Body = std::make_shared<const std::string>();
  Endless.Remaining = std::chrono::hours(1000);
  auto Decoded = decodeRelayFrame(encodeRelayFrame({{}, Endless}));
  cr_assert(std::holds_alternative<frame_error>(Decoded));
}

Test(relay_codec, a_frame_names_its_channel) {
  frame_reader Reader;
  cr_assert(!Reader.channel());
  Reader.append(makeFrame("x", frame_channel::Relay));
  cr_assert(Reader.channel() == frame_channel::Relay);
  Reader.next();
  Reader.append(makeFrame("x"));
  cr_assert(Reader.channel() == frame_channel::Control);
}
