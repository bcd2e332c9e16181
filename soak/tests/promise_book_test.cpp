/// \file
/// Each promise that the soak checks is seen to be broken where it is.

#include "book_fixture.h"

#include <criterion/criterion.h>

using namespace masticproxy;
using namespace masticproxy::soak;
using platform::small_site;
using std::chrono::milliseconds;

Test(promise_book, finds_nothing_wrong_with_a_calm_run) {
  book_fixture F;
  for (request_kind Kind :
       {request_kind::Merged, request_kind::One, request_kind::Once}) {
    F.send(Kind);
    F.run(0);
    F.answer(F.whole());
  }
  F.Book.startRecovery();
  F.send(request_kind::Merged);
  F.answer(F.whole());
  F.Book.finish();
  cr_assert(F.kept());
}

Test(promise_book, sees_an_answer_of_another_request) {
  book_fixture F;
  F.send(request_kind::One);
  caller_answer Other = F.whole();
  F.answer(Other);
  cr_assert(F.kept());
  F.send(request_kind::One);
  F.answer(Other);
  cr_assert(F.broke("own_whole_answer"));
}

Test(promise_book, sees_records_that_are_not_the_greatest) {
  book_fixture F;
  F.send(request_kind::Merged);
  caller_answer Wrong = F.whole();
  Wrong.Body = bodyOf(F.Request.Id, 0).substr(0, Wrong.Body.size());
  F.answer(Wrong);
  cr_assert(F.broke("own_whole_answer"));
}

Test(promise_book, sees_a_shard_that_counts_twice) {
  book_fixture F;
  F.send(request_kind::Merged);
  caller_answer Wrong = F.whole();
  Wrong.Signatures[1] = small_site::signatureOf(0, 1, F.Request.Id);
  F.answer(Wrong);
  cr_assert(F.broke("own_whole_answer"));
}

Test(promise_book, sees_coverage_that_is_not_true) {
  book_fixture F;
  F.send(request_kind::Merged);
  caller_answer Wrong = F.whole();
  Wrong.Signatures.pop_back();
  Wrong.Body = greatestOf(F.Request.Id, {0, 1}, small_site::MergedRecords);
  F.answer(Wrong);
  cr_assert(F.broke("own_whole_answer"));
}

Test(promise_book, sees_an_answer_below_the_least_coverage) {
  book_fixture F;
  F.send(request_kind::Merged);
  caller_answer Wrong = F.whole();
  Wrong.Signatures.resize(1);
  Wrong.Missing = Shards - 1;
  Wrong.Body = greatestOf(F.Request.Id, {0}, small_site::MergedRecords);
  F.answer(Wrong);
  cr_assert(F.broke("own_whole_answer"));
}

Test(promise_book, sees_a_second_run_of_what_must_run_once) {
  book_fixture F;
  F.send(request_kind::Once);
  F.run(0);
  F.run(0);
  cr_assert(F.broke("at_most_once"));
}

Test(promise_book, sees_too_many_attempts_at_a_shard) {
  book_fixture F;
  F.send(request_kind::Merged);
  for (unsigned I = 0; I < small_site::Attempts; ++I)
    F.run(1);
  cr_assert(F.kept());
  F.run(1);
  cr_assert(F.broke("attempts"));
}

Test(promise_book, sees_a_refusal_of_what_has_run) {
  book_fixture F;
  F.send(request_kind::One);
  F.run(0);
  F.answer(F.status(503));
  cr_assert(F.broke("not_run"));
}

Test(promise_book, sees_a_run_of_what_was_refused) {
  book_fixture F;
  F.send(request_kind::One);
  F.answer(F.status(429));
  F.run(0);
  cr_assert(F.broke("not_run"));
}

Test(promise_book, sees_a_run_that_nobody_asked_for) {
  book_fixture F;
  F.Book.ran("nobody", "/any/nobody", 0, 0);
  cr_assert(F.broke("unasked"));
}

Test(promise_book, sees_a_run_under_another_path) {
  book_fixture F;
  F.send(request_kind::One);
  F.Book.ran(F.Request.Id, "/other", 0, 0);
  cr_assert(F.broke("unasked"));
}

Test(promise_book, sees_a_run_of_what_never_left_its_caller) {
  book_fixture F;
  F.send(request_kind::Once);
  F.Book.closed(F.Request.Id, /*Unsent=*/true);
  F.run(0);
  cr_assert(F.broke("unasked"));
}

Test(promise_book, sees_a_run_long_after_the_caller_left) {
  book_fixture F;
  F.send(request_kind::One);
  F.Book.left(F.Request.Id);
  F.Clock.advance(LeftWithin);
  F.run(0);
  cr_assert(F.kept());
  F.Clock.advance(milliseconds(1));
  F.run(0);
  cr_assert(F.broke("caller_left"));
}

Test(promise_book, sees_new_work_at_an_upstream_that_drains) {
  book_fixture F;
  F.Book.drained(0);
  F.Clock.advance(DrainWithin);
  F.send(request_kind::One);
  F.run(0);
  cr_assert(F.kept());
  F.Clock.advance(milliseconds(1));
  F.run(0);
  cr_assert(F.broke("drain"));
}

Test(promise_book, excuses_late_news_of_a_drain_while_the_store_is_down) {
  book_fixture F;
  F.Book.drained(0);
  F.Book.store().disturbed();
  F.Clock.advance(DrainWithin + milliseconds(1));
  F.send(request_kind::One);
  F.run(0);
  cr_assert(F.kept());
}

Test(promise_book, sees_a_version_that_is_late) {
  book_fixture F;
  F.Book.configurationWritten();
  F.Clock.advance(milliseconds(2900));
  F.send(request_kind::Merged, 2);
  F.answer(F.status(404));
  cr_assert(F.kept());
  F.Clock.advance(milliseconds(101));
  F.send(request_kind::Merged, 2);
  F.answer(F.status(404));
  cr_assert(F.broke("configuration"));
}

Test(promise_book, sees_a_version_that_outlives_the_next) {
  book_fixture F;
  F.Book.configurationWritten();
  F.Clock.advance(milliseconds(3001));
  F.send(request_kind::Merged, 1);
  F.answer(F.whole());
  cr_assert(F.broke("configuration"));
}

Test(promise_book, sees_a_version_that_comes_back) {
  book_fixture F;
  F.Book.configurationWritten();
  F.send(request_kind::Merged, 2);
  F.answer(F.whole());
  F.Clock.advance(milliseconds(251));
  F.send(request_kind::Merged, 1);
  F.answer(F.whole());
  cr_assert(F.broke("configuration"));
}

Test(promise_book, sees_a_version_that_is_forgotten) {
  book_fixture F;
  F.Book.configurationWritten();
  F.send(request_kind::Merged, 2);
  F.answer(F.whole());
  F.Clock.advance(milliseconds(251));
  F.send(request_kind::Merged, 2);
  F.answer(F.status(404));
  cr_assert(F.broke("configuration"));
}

Test(promise_book, sees_a_request_cut_by_a_planned_stop) {
  book_fixture F;
  F.Book.terminated(0, 0);
  F.send(request_kind::One);
  F.run(0);
  F.Book.closed(F.Request.Id, /*Unsent=*/false);
  cr_assert(F.broke("shutdown"));
}

Test(promise_book, sees_a_request_left_lying_by_a_planned_stop) {
  book_fixture F;
  F.Book.terminated(0, 0);
  F.send(request_kind::One);
  F.Clock.advance(LossSlack);
  F.Book.closed(F.Request.Id, /*Unsent=*/false);
  cr_assert(F.kept());
  F.send(request_kind::One);
  F.Clock.advance(LossSlack + milliseconds(1));
  F.Book.closed(F.Request.Id, /*Unsent=*/false);
  cr_assert(F.broke("shutdown"));
}

Test(promise_book, excuses_what_a_kill_cuts) {
  book_fixture F;
  F.send(request_kind::One);
  F.run(0);
  F.Book.vm(0).disturbed();
  F.Book.closed(F.Request.Id, /*Unsent=*/false);
  cr_assert(F.kept());
}

Test(promise_book, sees_requests_that_are_passed_on_and_closed_on) {
  book_fixture F;
  for (unsigned I = 0; I <= LostAtMost; ++I) {
    F.send(request_kind::One);
    F.run(0);
    F.Book.closed(F.Request.Id, /*Unsent=*/false);
  }
  F.Book.finish();
  cr_assert(F.broke("lost"));
}

Test(promise_book, sees_requests_that_are_held_past_their_time_out) {
  book_fixture F;
  for (unsigned I = 0; I < HeldAtLeast; ++I) {
    F.send(request_kind::One);
    F.Clock.advance(RequestTimeout + HeldSlack + milliseconds(1));
    F.answer(F.status(504));
  }
  F.Book.finish();
  cr_assert(F.broke("held"));
}

Test(promise_book, sees_a_process_that_ends) {
  book_fixture F;
  F.Book.vmEnded(0, /*Asked=*/false, 0);
  cr_assert(F.broke("stays_up"));
  book_fixture Asked;
  Asked.Book.vmEnded(0, /*Asked=*/true, 0);
  cr_assert(Asked.kept());
  Asked.Book.vmEnded(0, /*Asked=*/true, 1);
  cr_assert(Asked.broke("ends_cleanly"));
}

Test(promise_book, sees_a_site_that_does_not_recover) {
  book_fixture F;
  F.Book.startRecovery();
  for (int I = 0; I < 10; ++I) {
    F.send(request_kind::One);
    F.answer(I < 2 ? F.whole() : F.status(503));
  }
  F.Book.finish();
  cr_assert(F.broke("recovery"));
}
