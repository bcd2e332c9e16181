/// \file
/// The promises about upstreams that leave, pause or answer oddly are seen to
/// be broken where they are.

#include "book_fixture.h"

#include <criterion/criterion.h>

using namespace masticproxy;
using namespace masticproxy::soak;
using std::chrono::milliseconds;

Test(promise_book, sees_a_success_without_any_shard) {
  book_fixture F;
  F.send(request_kind::Any);
  caller_answer Empty = book_fixture::status(200);
  Empty.Missing = Shards;
  F.answer(Empty);
  cr_assert(F.broke("own_whole_answer"));
}

Test(promise_book, sees_a_process_that_holds_too_much) {
  book_fixture F;
  F.Book.vmMemory(0, MostPeakBytes + 1);
  cr_assert(F.broke("memory"));
}

Test(promise_book, sees_bytes_after_an_answer) {
  book_fixture F;
  F.send(request_kind::One);
  caller_answer Answer = F.whole();
  Answer.MoreBytes = true;
  F.answer(Answer);
  cr_assert(F.broke("own_whole_answer"));
}

Test(promise_book, sees_what_reaches_an_upstream_that_leaves) {
  book_fixture F;
  F.Book.leaving(0);
  F.Clock.advance(milliseconds(1));
  F.send(request_kind::One);
  F.run(0);
  F.answer(F.whole());
  F.Clock.advance(DrainWithin);
  F.send(request_kind::One);
  F.run(0);
  cr_assert(F.kept());
  F.Clock.advance(milliseconds(1));
  F.send(request_kind::One);
  F.run(0);
  cr_assert(F.broke("leaving"));
}

Test(promise_book, lets_a_restart_and_a_new_start_excuse_that) {
  for (bool VmRestarts : {true, false}) {
    book_fixture F;
    F.Book.leaving(0);
    F.Clock.advance(milliseconds(1));
    F.send(request_kind::One);
    F.answer(F.whole());
    F.Clock.advance(DrainWithin + milliseconds(1));
    if (VmRestarts)
      F.Book.vm(0).struck(F.Clock.now());
    else
      F.Book.startedAgain(0);
    F.send(request_kind::One);
    F.run(0);
    cr_assert(F.kept());
  }
}

Test(promise_book, sees_what_reaches_an_upstream_in_its_pause) {
  book_fixture F;
  // The book looks back over the time in which harm counts.
  F.Clock.advance(StableWindow + PauseSlack);
  F.send(request_kind::One);
  F.Book.askedForPause(F.Request.Id, 0, AskedPause);
  F.Clock.advance(PauseSlack + milliseconds(1));
  for (unsigned I = 0; I < PauseArrivals; ++I) {
    F.send(request_kind::One);
    F.run(0);
  }
  cr_assert(F.kept());
  F.send(request_kind::One);
  F.run(0);
  cr_assert(F.broke("pause"));
}

Test(promise_book,
     lets_a_restart_excuse_only_until_the_word_is_passed_on_again) {
  book_fixture F;
  F.Book.leaving(0);
  F.Clock.advance(milliseconds(1));
  F.send(request_kind::One);
  F.answer(F.whole());
  F.Clock.advance(milliseconds(1));
  F.Book.vm(0).struck(F.Clock.now());
  F.Clock.advance(milliseconds(1));
  F.send(request_kind::One);
  F.answer(F.whole());
  F.Clock.advance(DrainWithin + milliseconds(1));
  F.send(request_kind::One);
  F.run(0);
  cr_assert(F.broke("leaving"));
}

// Seed 903: an upstream that drains leaves and starts again, and is ready then.
Test(promise_book, lets_a_new_start_of_a_draining_upstream_get_work) {
  for (bool StartsAgain : {true, false}) {
    book_fixture F;
    F.Book.drained(0);
    if (StartsAgain)
      F.Book.startedAgain(0);
    F.Clock.advance(DrainWithin + milliseconds(1));
    F.send(request_kind::One);
    F.run(0);
    cr_assert(StartsAgain ? F.kept() : F.broke("drain"));
  }
}
