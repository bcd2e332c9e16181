/// \file
/// A feed follows a platform that pages, forgets and falls silent.

#include "masticproxy/Net"
#include "masticproxy/src/Net/os_clock.h"
#include "masticproxy/src/Net/platform_freshness.h"
#include "masticproxy/src/Net/watch_check.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <thread>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Wait{50};
constexpr milliseconds CallTimeout{1000};

/// Speaks plainly: a page is "list REVISION NAME...", or with "more" in front
/// where another follows; changes are "changes REVISION NAME...".
class plain_codec : public object_codec {
public:
  http_request listRequest(std::string_view Name,
                           read_freshness Freshness) const override {
    http_request Request;
    bool Lag = Freshness == read_freshness::MayLag;
    Request.Target = (Lag ? "/copy/" : "/list/") + std::string(Name);
    return Request;
  }
  http_request watchRequest(std::uint64_t Revision, milliseconds,
                            read_freshness Freshness) const override {
    http_request Request;
    bool Lag = Freshness == read_freshness::MayLag;
    Request.Target = (Lag ? "/lag/" : "/watch/") + std::to_string(Revision);
    return Request;
  }
  object_page_result readPage(const http_response &Answer) const override {
    if (Answer.Status != 200)
      return platform_unavailable{"refused"};
    std::vector<std::string> Words = words(Answer.Body);
    object_page Page;
    bool More = Words[0] == "more";
    Page.Revision = std::stoull(Words[1]);
    Page.Era = era(Answer);
    Page.Objects = objects(Words);
    if (More)
      Page.Continue = Words.back();
    return Page;
  }
  object_watch_result readChanges(const http_response &Answer) const override {
    if (Answer.Status == 410)
      return history_gone{};
    if (Answer.Status != 200)
      return platform_unavailable{"refused"};
    std::vector<std::string> Words = words(Answer.Body);
    platform_changes Changes;
    Changes.Revision = std::stoull(Words[1]);
    Changes.Era = era(Answer);
    Changes.Objects = objects(Words);
    return Changes;
  }
  std::vector<discovery_event>
  readList(const std::vector<platform_object> &Objects,
           std::vector<std::string> &) const override {
    upstreams_listed Listed;
    for (const platform_object &Object : Objects) {
      Listed.Entries.emplace_back();
      Listed.Entries.back().Instance = Object.Name;
    }
    return {Listed};
  }
  std::vector<discovery_event>
  readChange(const platform_object &Object,
             std::vector<std::string> &) const override {
    return {upstream_lapsed{Object.Name}};
  }

private:
  static std::optional<std::uint64_t> era(const http_response &Answer) {
    std::string Text(findHeader(Answer.Headers, "x-era"));
    return Text.empty() ? std::nullopt : std::optional(std::stoull(Text));
  }
  static std::vector<std::string> words(const std::string &Text) {
    std::vector<std::string> Words;
    std::string Word;
    for (char C : Text + " ") {
      if (C != ' ')
        Word.push_back(C);
      else if (!Word.empty())
        Words.push_back(std::exchange(Word, ""));
    }
    return Words;
  }
  static std::vector<platform_object>
  objects(const std::vector<std::string> &Words) {
    std::vector<platform_object> Objects;
    for (std::size_t I = 2; I < Words.size(); ++I)
      Objects.push_back({"kind", Words[I], 1, false, ""});
    return Objects;
  }
};

/// Answers calls from a script, in order, and notes what was asked.
class scripted_store {
public:
  struct line {
    unsigned Status;
    std::string Body;
  };

  explicit scripted_store(std::vector<line> Script)
      : Script(std::move(Script)),
        Server(Context, "127.0.0.1:0", {},
               [this](const http_request &Request,
                      const http_server::responder &Respond) {
                 Asked.push_back(Request.Target);
                 http_response Response;
                 const line &Next = this->Script.at(Asked.size() - 1);
                 Response.Status = Next.Status;
                 Response.Body = Next.Body;
                 Respond(std::move(Response));
               }),
        Thread([this] { Context.run(); }) {}
  ~scripted_store() {
    Context.stop();
    Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server.port());
  }

  std::vector<std::string> Asked;

private:
  std::vector<line> Script;
  boost::asio::io_context Context{1};
  http_server Server;
  std::thread Thread;
};

/// Takes \p Steps steps of a feed against \p Script. \returns what was asked.
std::vector<std::string> follow(std::vector<scripted_store::line> Script,
                                int Steps, std::vector<feed_result> &Results,
                                read_freshness Freshness = {},
                                read_freshness ListFreshness = {}) {
  scripted_store Store(std::move(Script));
  platform_caller Caller(Store.address(), CallTimeout);
  plain_codec Codec;
  object_feed Feed(Caller, Codec, Freshness, ListFreshness);
  for (int I = 0; I < Steps; ++I)
    Results.push_back(Feed.next(Wait));
  return Store.Asked;
}

using targets = std::vector<std::string>;

} // namespace

Test(object_feed, lists_all_pages_and_watches_from_the_oldest) {
  std::vector<feed_result> Results;
  auto Asked = follow({{200, "more 7 a b"},
                       {200, "list 9 c"},
                       {200, "changes 11 c"},
                       {200, "changes 11"}},
                      3, Results);
  cr_assert(Asked == (targets{"/list/", "/list/b", "/watch/7", "/watch/11"}));
  const auto &First = std::get<feed_news>(Results[0]);
  cr_assert(std::get<upstreams_listed>(First.Events[0]).Entries.size() == 3);
}

// A platform that is about to lose its history can end a watch without the
// changes that its revision covers.
Test(object_feed, lists_after_a_watch_without_news) {
  std::vector<feed_result> Results;
  auto Asked = follow({{200, "list 7 a"},
                       {200, "changes 20"},
                       {200, "list 21 a"},
                       {200, "changes 22 a"},
                       {200, "changes 22"}},
                      5, Results);
  cr_assert(Asked == (targets{"/list/", "/watch/7", "/list/", "/watch/21",
                              "/watch/22"}));
}

Test(object_feed, stays_where_it_is_without_news_where_lists_are_long) {
  std::vector<feed_result> Results;
  auto Asked = follow({{200, "more 7 a"},
                       {200, "list 7 b"},
                       {200, "changes 20"},
                       {200, "changes 21 a"},
                       {200, "changes 21"}},
                      4, Results);
  cr_assert(Asked == (targets{"/list/", "/list/a", "/watch/7", "/watch/7",
                              "/watch/21"}));
}

// It can cut all watches, and accept new ones before the history is gone; a
// watch from the old revision would then wait for the next change.
Test(object_feed, lists_after_a_watch_that_was_cut) {
  std::vector<feed_result> Results;
  auto Asked = follow(
      {{200, "list 7 a"}, {503, ""}, {200, "list 9 a"}, {200, "changes 10 a"}},
      4, Results);
  cr_assert(Asked == (targets{"/list/", "/watch/7", "/list/", "/watch/9"}));
}

// The first list and watches come from a copy that lags: what they miss comes
// with the next watch. A list after a cut has to show what happened meanwhile.
Test(object_feed, lists_the_newest_after_a_cut_where_reads_may_lag) {
  std::vector<feed_result> Results;
  auto Asked = follow({{200, "list 7 a"},
                       {200, "changes 8 a"},
                       {503, ""},
                       {200, "list 9 a"},
                       {200, "changes 10 a"}},
                      5, Results, read_freshness::MayLag);
  cr_assert(Asked ==
            (targets{"/copy/", "/lag/7", "/lag/8", "/list/", "/lag/9"}));
}

// A copy that lags behind the dropped history is no ground to start from.
Test(object_feed, lists_the_newest_where_a_copy_was_older_than_the_history) {
  std::vector<feed_result> Results;
  auto Asked = follow({{503, ""},
                       {200, "more 7 a"},
                       {200, "list 7 b"},
                       {410, ""},
                       {200, "list 30 b"},
                       {200, "changes 31 a"}},
                      4, Results, read_freshness::MayLag);
  cr_assert(Asked == (targets{"/copy/", "/copy/", "/copy/a", "/lag/7", "/list/",
                              "/lag/30"}));
}

// Guards against: a feed whose lists come from copies finds the history gone
// again and again while the platform drops it, and asks without a pause.
Test(object_feed,
     lists_the_newest_where_the_history_is_gone_and_lists_may_lag) {
  std::vector<feed_result> Results;
  auto Asked =
      follow({{200, "list 7 a"},
              {410, ""},
              {200, "list 30 b"},
              {200, "changes 31 a"},
              {503, ""},
              {200, "list 31 a"}},
             5, Results, read_freshness::MayLag, read_freshness::MayLag);
  cr_assert(Asked == (targets{"/copy/", "/lag/7", "/list/", "/lag/30",
                              "/lag/31", "/copy/"}));
}

Test(object_feed, lists_again_where_the_history_is_gone) {
  std::vector<feed_result> Results;
  auto Asked = follow(
      {{200, "list 7 a"}, {410, ""}, {200, "list 30 b"}, {200, "changes 30"}},
      3, Results);
  cr_assert(Asked == (targets{"/list/", "/watch/7", "/list/", "/watch/30"}));
  cr_assert(std::get<feed_news>(Results[1]).Listed);
}

Test(object_feed, asks_for_the_list_again_after_a_refusal) {
  std::vector<feed_result> Results;
  auto Asked = follow({{429, ""}, {503, ""}, {200, "list 7 a"}}, 3, Results);
  cr_assert(Asked == (targets{"/list/", "/list/", "/list/"}));
  cr_assert(std::holds_alternative<platform_unavailable>(Results[0]));
  cr_assert(std::holds_alternative<platform_unavailable>(Results[1]));
}

Test(object_feed, lists_from_the_start_where_a_page_fails) {
  std::vector<feed_result> Results;
  auto Asked =
      follow({{200, "more 7 a"}, {503, ""}, {200, "list 8 b"}}, 2, Results);
  cr_assert(Asked == (targets{"/list/", "/list/a", "/list/"}));
}

namespace {

/// \brief A feed whose watches are checked, and all that it needs.
struct checked_feed {
  checked_feed(std::uint16_t Port, milliseconds LongestAge)
      : Caller("127.0.0.1:" + std::to_string(Port), CallTimeout),
        Check(Clock, Platform, {LongestAge}), Feed(Caller, Codec) {
    Feed.checkWatches(Check);
  }

  platform_caller Caller;
  plain_codec Codec;
  os_clock Clock;
  platform_freshness Platform;
  watch_check Check;
  object_feed Feed;
};

} // namespace

// Guards against: a change whose answer was lost on its way stays unknown until
// the watch times out.
Test(object_feed, hears_by_a_check_of_a_change_whose_answer_was_lost) {
  boost::asio::io_context Context{1};
  std::vector<http_server::responder> Lost;
  int Watches = 0;
  http_server Server(
      Context, "127.0.0.1:0", {},
      [&](const http_request &Request, const http_server::responder &Respond) {
        http_response Response;
        Response.Body = "list 7 a";
        // The first is the held watch, the others its checks.
        if (Request.Target != "/list/" && ++Watches == 1)
          return Lost.push_back(Respond);
        if (Watches > 0)
          Response.Body = Watches < 3 ? "changes 8" : "changes 9 b";
        Respond(std::move(Response));
      });
  std::thread Thread([&] { Context.run(); });
  checked_feed Followed(Server.port(), milliseconds(400));
  object_feed &Feed = Followed.Feed;
  Feed.next(Wait);
  auto Start = Followed.Clock.now();
  auto Result = Feed.next(milliseconds(20000));
  cr_assert(Followed.Clock.now() - Start < milliseconds(2000));
  cr_assert(std::get<feed_news>(Result).Events.size() == 1);
  cr_assert(std::get<feed_news>(Result).Revision == 9);
  cr_assert(Feed.checks() == 2);
  Context.stop();
  Thread.join();
}

// Guards against: each VM lists all objects after each watch without news,
// although the heartbeat shows that nothing has changed.
Test(object_feed, goes_on_from_what_the_heartbeat_shows) {
  boost::asio::io_context Context{1};
  targets Asked;
  http_server Server(
      Context, "127.0.0.1:0", {},
      [&](const http_request &Request, const http_server::responder &Respond) {
        Asked.push_back(Request.Target);
        http_response Response;
        Response.Body = Asked.size() == 1 ? "list 7 a" : "changes 40";
        Respond(std::move(Response));
      });
  std::thread Thread([&] { Context.run(); });
  checked_feed Followed(Server.port(), milliseconds(4000));
  object_feed &Feed = Followed.Feed;
  Feed.next(Wait);
  Followed.Platform.Revision.record(6, 30, Followed.Clock.now());
  Feed.next(Wait);
  Followed.Platform.Revision.record(31, 39, Followed.Clock.now());
  Feed.next(Wait);
  Feed.next(Wait);
  Context.stop();
  Thread.join();
  cr_assert(Asked == (targets{"/list/", "/watch/7", "/watch/30", "/list/"}));
}

namespace {

/// \brief A platform that answers with one text after the other, each of an
/// era; "" for none.
class scripted_platform {
public:
  struct answer {
    std::string Body;
    std::string Era;
  };

  explicit scripted_platform(std::vector<answer> NewAnswers)
      : Answers(std::move(NewAnswers)),
        Server(Context, "127.0.0.1:0", {},
               [this](const http_request &Request,
                      const http_server::responder &Respond) {
                 Targets.push_back(Request.Target);
                 const answer &Next =
                     Answers[std::min(Targets.size() - 1, Answers.size() - 1)];
                 http_response Response;
                 Response.Body = Next.Body;
                 if (!Next.Era.empty())
                   Response.Headers.emplace_back("x-era", Next.Era);
                 Respond(std::move(Response));
               }),
        Thread([this] { Context.run(); }) {}
  ~scripted_platform() {
    Context.stop();
    Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server.port());
  }
  std::vector<std::string> Targets;

private:
  std::vector<answer> Answers;
  boost::asio::io_context Context;
  http_server Server;
  std::thread Thread;
};

} // namespace

// A store that comes back from a copy gives revisions out again. A watch that
// goes on from one of before would miss what was written since.
Test(object_feed, reads_a_list_where_the_era_has_changed) {
  scripted_platform Platform(
      {{"list 900 a b", "1"}, {"changes 301 c", "2"}, {"list 301 a c", "2"}});
  platform_caller Caller(Platform.address(), CallTimeout);
  plain_codec Codec;
  object_feed Feed(Caller, Codec);
  feed_result First = Feed.next(Wait);
  cr_assert(!std::get<feed_news>(First).NewEra);
  feed_result Second = Feed.next(Wait);
  const auto &News = std::get<feed_news>(Second);
  cr_assert(News.Listed && News.NewEra && News.Revision == 301);
  cr_assert(Platform.Targets.back() == "/list/");
}

// Copies of the store may lag: one from before it came back must not bring back
// what is gone.
Test(object_feed, takes_nothing_in_from_an_earlier_era) {
  scripted_platform Platform({{"list 300 a", "2"}, {"changes 900 b", "1"}});
  platform_caller Caller(Platform.address(), CallTimeout);
  plain_codec Codec;
  object_feed Feed(Caller, Codec);
  Feed.next(Wait);
  feed_result Old = Feed.next(Wait);
  cr_assert(std::holds_alternative<platform_unavailable>(Old));
}

Test(object_feed, goes_on_where_an_answer_states_no_era) {
  scripted_platform Platform({{"list 300 a", "2"}, {"changes 301 b", ""}});
  platform_caller Caller(Platform.address(), CallTimeout);
  plain_codec Codec;
  object_feed Feed(Caller, Codec);
  Feed.next(Wait);
  feed_result Next = Feed.next(Wait);
  cr_assert(std::get<feed_news>(Next).Events.size() == 1);
}
