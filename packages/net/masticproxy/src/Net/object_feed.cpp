#include "masticproxy/src/Net/object_feed.h"

#include "masticproxy/src/Net/call_check.h"
#include "masticproxy/src/Net/platform_caller.h"
#include "masticproxy/src/Net/watch_check.h"

#include <algorithm>
#include <iterator>

using namespace masticproxy;

namespace {

/// Wait of a watch that is answered at once: the least that a platform takes.
constexpr std::chrono::milliseconds NoWait{1};

platform_unavailable fromEarlierEra() {
  return {"the answer comes from a copy of an earlier era"};
}

} // namespace

feed_result object_feed::next(std::chrono::milliseconds Wait) {
  if (!Revision)
    return list(listSource());
  feed_result Result = watch(Wait);
  // A platform that is about to lose its history can cut watches, and accept
  // new ones, before it tells the changes in between. Only a list is sure.
  if (std::holds_alternative<platform_unavailable>(Result))
    Revision.reset();
  return Result;
}

read_freshness object_feed::listSource() const {
  // At a start nothing was missed: what the list lacks comes with the watch. A
  // later list is read because the watch may have missed something.
  return Listed ? ListFreshness : Freshness;
}

feed_result object_feed::list(read_freshness Source) {
  std::vector<platform_object> Objects;
  std::optional<std::uint64_t> Oldest;
  std::optional<std::uint64_t> ListEra;
  std::string Continue;
  feed_news News;
  Pages = 0;
  time_point SentAt = Check ? Check->now() : time_point{};
  do {
    ++Pages;
    auto Answer = Platform.call(Codec.listRequest(Continue, Source));
    if (auto *Failure = std::get_if<platform_unavailable>(&Answer))
      return *Failure;
    auto Read = Codec.readPage(std::get<http_response>(Answer));
    if (auto *Failure = std::get_if<platform_unavailable>(&Read))
      return *Failure;
    auto &Page = std::get<object_page>(Read);
    std::uint64_t PageEra = eraOf(Page.Era);
    if (PageEra < Era)
      return fromEarlierEra();
    if (ListEra.value_or(PageEra) != PageEra)
      return platform_unavailable{"the era changed between two pages"};
    ListEra = PageEra;
    // What changes while later pages are read comes again with the watch.
    Oldest = std::min(Oldest.value_or(Page.Revision), Page.Revision);
    std::move(Page.Objects.begin(), Page.Objects.end(),
              std::back_inserter(Objects));
    std::move(Page.Problems.begin(), Page.Problems.end(),
              std::back_inserter(News.Problems));
    Continue = std::move(Page.Continue);
  } while (!Continue.empty());
  News.Events = Codec.readList(Objects, News.Problems);
  News.Revision = *Oldest;
  News.Listed = true;
  News.NewEra = Listed && *ListEra > Era;
  Era = *ListEra;
  Revision = Oldest;
  Listed = true;
  if (Check)
    Check->onAnswer({News.Revision, Era}, Source, SentAt);
  return News;
}

feed_result object_feed::poll() {
  return list(Check ? Check->freshness() : Freshness);
}

feed_result object_feed::watch(std::chrono::milliseconds Wait) {
  AnswerSource = Freshness;
  auto Answer = Platform.hold(
      Codec.watchRequest(*Revision, Wait, Freshness), Wait,
      Codec.watchRequest(*Revision, NoWait, read_freshness::MayLag),
      watchChecks());
  if (auto *Failure = std::get_if<platform_unavailable>(&Answer))
    return *Failure;
  auto Read = Codec.readChanges(std::get<http_response>(Answer));
  if (auto *Failure = std::get_if<platform_unavailable>(&Read))
    return *Failure;
  if (std::holds_alternative<history_gone>(Read)) {
    Revision.reset();
    // A copy can be older than the history that is left: the next watch would
    // find it gone again, and so on without a pause.
    return list(read_freshness::Newest);
  }
  const auto &Changes = std::get<platform_changes>(Read);
  if (eraOf(Changes.Era) < Era)
    return fromEarlierEra();
  if (eraOf(Changes.Era) > Era) {
    // Its revisions say nothing of what was known before.
    Revision.reset();
    return list(read_freshness::Newest);
  }
  feed_news News;
  News.Problems = Changes.Problems;
  for (const platform_object &Object : Changes.Objects) {
    std::vector<discovery_event> Events =
        Codec.readChange(Object, News.Problems);
    std::move(Events.begin(), Events.end(), std::back_inserter(News.Events));
  }
  News.Revision = std::max(*Revision, Changes.Revision);
  if (Check && !Changes.Objects.empty())
    Check->onAnswer({News.Revision, Era}, AnswerSource, Check->now());
  if (Changes.Objects.empty())
    continueWithoutNews();
  else
    Revision = News.Revision;
  return News;
}

// A watch without news is no proof that there are none. Where the heartbeat
// shows none either, the next watch goes on from there. Otherwise, where a list
// costs no more than a watch, it comes next, and elsewhere the next watch goes
// back to the last news.
void object_feed::continueWithoutNews() {
  if (Check && Check->shownComplete())
    Revision = knownRevision();
  else if (Pages == 1)
    Revision.reset();
}

// A platform that is about to lose its history may tell no changes for a
// moment; it cuts the held watch then, and a list follows.
std::uint64_t object_feed::knownRevision() const {
  platform_position Known = Check->knownUpTo();
  return Known.Era == Era ? std::max(*Revision, Known.Revision) : *Revision;
}

call_check object_feed::watchChecks() {
  if (!Check)
    return {};
  call_check Checks;
  Checks.Due = [this] { return Check->due(); };
  Checks.Request = [this] {
    ++this->Checks;
    CheckSource = Check->freshness();
    return Codec.watchRequest(knownRevision(), NoWait, CheckSource);
  };
  Checks.HasNews = [this](const http_response &Answer, time_point SentAt) {
    return hasNews(Answer, SentAt);
  };
  return Checks;
}

bool object_feed::hasNews(const http_response &Answer, time_point SentAt) {
  auto Read = Codec.readChanges(Answer);
  AnswerSource = CheckSource;
  if (std::holds_alternative<history_gone>(Read))
    return true;
  const auto *Changes = std::get_if<platform_changes>(&Read);
  // One that was refused says nothing; the next one comes soon.
  if (!Changes)
    return false;
  std::uint64_t AnswerEra = eraOf(Changes->Era);
  if (AnswerEra < Era)
    return false;
  if (!Changes->Objects.empty() || !Changes->Problems.empty() ||
      AnswerEra > Era)
    return true;
  Check->onAnswer({Changes->Revision, AnswerEra}, CheckSource, SentAt);
  return false;
}
