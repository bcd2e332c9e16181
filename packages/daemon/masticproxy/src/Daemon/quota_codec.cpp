#include "masticproxy/src/Daemon/quota_codec.h"

#include "masticproxy/src/Net/bounded_json.h"

#include <cmath>
#include <limits>

using namespace masticproxy;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Longest time that a message may state.
constexpr std::uint64_t LongestMs = 3'600'000;

std::string dump(const json &Root) {
  return Root.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// \throws std::exception unless \p Key is a number from 0 to \p Most
double readNumber(const json &Node, const char *Key, double Most) {
  double Number = Node.at(Key).get<double>();
  if (!std::isfinite(Number) || Number < 0 || Number > Most)
    throw std::invalid_argument(std::string(Key) + " is out of range");
  return Number;
}

/// \throws std::exception unless \p Key is a whole number from 0 to \p Most
std::uint64_t readWhole(const json &Node, const char *Key, std::uint64_t Most) {
  const json &Value = Node.at(Key);
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Most)
    throw std::invalid_argument(std::string(Key) + " is out of range");
  return Value.get<std::uint64_t>();
}

milliseconds readSpan(const json &Node, const char *Key) {
  return milliseconds(readWhole(Node, Key, LongestMs));
}

unsigned readCount(const json &Node, const char *Key) {
  return static_cast<unsigned>(
      readWhole(Node, Key, std::numeric_limits<unsigned>::max()));
}

json wantedJson(const std::vector<quota_wanted> &Wanted) {
  json Classes = json::array();
  for (const quota_wanted &Class : Wanted)
    Classes.push_back({{"priority", Class.Priority}, {"count", Class.Count}});
  return Classes;
}

/// \throws std::exception unless \p Node lists counts, the most urgent first
std::vector<quota_wanted> readWanted(const json &Node) {
  std::vector<quota_wanted> Wanted;
  for (const json &Class : Node) {
    quota_wanted Next{readCount(Class, "priority"), readCount(Class, "count")};
    if (!Wanted.empty() && Next.Priority <= Wanted.back().Priority)
      throw std::invalid_argument("wanted is not in order");
    Wanted.push_back(Next);
  }
  return Wanted;
}

constexpr std::uint64_t AnyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr double MostDemand = 1e9;

} // namespace

std::string masticproxy::toJson(const quota_ask &Ask) {
  json Entries = json::array();
  for (const quota_ask_entry &Entry : Ask.Entries)
    Entries.push_back({{"team", Entry.Team},
                       {"wanted", wantedJson(Entry.Wanted)},
                       {"demand", Entry.Demand},
                       {"share", Entry.Share},
                       {"share_left_ms", Entry.ShareLeft.count()},
                       {"used", Entry.Used}});
  return dump({{"vm", Ask.Vm},
               {"incarnation", Ask.Incarnation},
               {"sequence", Ask.Sequence},
               {"term", Ask.Term},
               {"entries", std::move(Entries)}});
}

std::string masticproxy::toJson(const quota_answer &Answer) {
  json Entries = json::array();
  for (const quota_answer_entry &Entry : Answer.Entries)
    Entries.push_back({{"team", Entry.Team},
                       {"granted", Entry.Granted},
                       {"share", Entry.Share},
                       {"share_for_ms", Entry.ShareFor.count()},
                       {"retry_after_ms", Entry.RetryAfter.count()}});
  return dump({{"term", Answer.Term}, {"entries", std::move(Entries)}});
}

quota_ask masticproxy::readQuotaAsk(std::string_view Text) {
  json Root = parseBoundedJson(Text);
  quota_ask Ask;
  Ask.Vm = Root.at("vm").get<std::string>();
  Ask.Incarnation = readWhole(Root, "incarnation", AnyNumber);
  Ask.Sequence = readWhole(Root, "sequence", AnyNumber);
  Ask.Term = readWhole(Root, "term", AnyNumber);
  for (const json &Node : Root.at("entries")) {
    quota_ask_entry Entry;
    Entry.Team = Node.at("team").get<std::string>();
    Entry.Wanted = readWanted(Node.at("wanted"));
    Entry.Demand = readNumber(Node, "demand", MostDemand);
    Entry.Share = readNumber(Node, "share", 1);
    Entry.ShareLeft = readSpan(Node, "share_left_ms");
    Entry.Used = Node.at("used").get<std::vector<unsigned>>();
    Ask.Entries.push_back(std::move(Entry));
  }
  return Ask;
}

quota_answer masticproxy::readQuotaAnswer(std::string_view Text) {
  json Root = parseBoundedJson(Text);
  quota_answer Answer;
  Answer.Term = readWhole(Root, "term", AnyNumber);
  for (const json &Node : Root.at("entries")) {
    quota_answer_entry Entry;
    Entry.Team = Node.at("team").get<std::string>();
    Entry.Granted = readCount(Node, "granted");
    Entry.Share = readNumber(Node, "share", 1);
    Entry.ShareFor = readSpan(Node, "share_for_ms");
    Entry.RetryAfter = readSpan(Node, "retry_after_ms");
    Answer.Entries.push_back(std::move(Entry));
  }
  return Answer;
}
