#ifndef MASTICPROXY_SOAK_TESTS_BOOK_FIXTURE_H
#define MASTICPROXY_SOAK_TESTS_BOOK_FIXTURE_H

#include "../../packages/core/tests/manual_clock.h"
#include "../../platform/standins/small_site.h"
#include "promise_book.h"
#include "soak_records.h"
#include "soak_timing.h"

#include <string>
#include <vector>

namespace masticproxy::soak {

inline constexpr unsigned Shards = platform::small_site::UsualShards;

/// \brief A site of one VM that was calm for long, and one request.
struct book_fixture {
  book_fixture() {
    Book.vm(0).calmed(Clock.now());
    Book.configurationWritten();
    Clock.advance(StableWindow + std::chrono::milliseconds(1));
  }

  const soak_request &send(request_kind Kind, unsigned Version = 1) {
    Request = {};
    Request.Id = "r" + std::to_string(++Sent);
    Request.Target = "/any/" + Request.Id;
    Request.Kind = Kind;
    Request.Version = Version;
    Request.SentAt = Clock.now();
    Book.sent(Request);
    return Request;
  }

  void run(unsigned Shard) {
    Book.ran(Request.Id, Request.Target, Shard,
             Shard * platform::small_site::Replicas);
  }

  /// The whole, true answer to the request.
  caller_answer whole() const {
    caller_answer Answer;
    Answer.Status = 200;
    if (Request.Kind != request_kind::Merged) {
      Answer.Signature = platform::small_site::signatureOf(0, 0, Request.Id);
      Answer.Body = bodyOf(Request.Id, 0);
      return Answer;
    }
    std::vector<unsigned> In;
    for (unsigned S = 0; S < Shards; ++S) {
      In.push_back(S);
      Answer.Signatures.push_back(
          platform::small_site::signatureOf(S, 0, Request.Id));
    }
    Answer.Body =
        greatestOf(Request.Id, In, platform::small_site::MergedRecords);
    return Answer;
  }

  void answer(const caller_answer &Answer) {
    Book.answered(Request.Id, Answer);
  }

  static caller_answer status(unsigned Status) {
    caller_answer Answer;
    Answer.Status = Status;
    return Answer;
  }

  bool broke(const std::string &Promise) const {
    return Book.violations().size() == 1 &&
           Book.violations().front().Promise == Promise;
  }
  bool kept() const { return Book.violations().empty(); }

  manual_clock Clock;
  promise_book Book{Clock, 1, Shards, Shards *platform::small_site::Replicas};
  soak_request Request;
  unsigned Sent = 0;
};

} // namespace masticproxy::soak

#endif
