#include "fault_plan.h"

#include "../platform/standins/small_site.h"
#include "soak_options.h"

#include <algorithm>
#include <random>

using namespace masticproxy::soak;
using std::chrono::milliseconds;

namespace {

/// Time between the starts of two series at most.
constexpr unsigned LongestGapMs = 1500;

/// Faults of one series, and the time between them, at most.
constexpr unsigned LongestSeries = 4;
constexpr unsigned SeriesGapMs = 700;

/// How long a fault lasts: from well below a time-out to well above one.
constexpr unsigned ShortestMs = 200;
constexpr unsigned LongestMs = 4500;

/// Silences of the store in a run at most, and what sets their draws apart.
constexpr unsigned MostSilences = 2;
constexpr unsigned SilenceStream = 0x51000000;

/// The same for copies of responses and for lost answers to watches.
constexpr unsigned MostCopyings = 4;
constexpr unsigned CopyingStream = 0x52000000;
constexpr unsigned MostLostWatches = 2;
constexpr unsigned LostWatchStream = 0x53000000;

/// How long an upstream is odd: longer than the time after which nothing may
/// reach one that leaves.
constexpr unsigned ShortestOddMs = 1500;
constexpr unsigned LongestOddMs = 8000;

/// The same for upstreams that leave, want a pause, answer without end, or
/// refuse now and then.
constexpr unsigned MostOddUpstreams = 6;
constexpr unsigned OddUpstreamStream = 0x54000000;

constexpr unsigned Replicas = masticproxy::platform::small_site::Replicas;

/// \brief Draws faults from one seed.
class fault_draws {
public:
  fault_draws(const soak_options &Options, unsigned Upstreams,
              unsigned Stream = 0)
      : Random(Options.Seed + Stream), Vms(Options.Vms), Upstreams(Upstreams) {}

  /// \returns a number from [\p First, \p Last]. The library's distributions
  /// may differ from one system to the next, and so would the plan of a seed.
  unsigned number(unsigned First, unsigned Last) {
    return First + static_cast<unsigned>(Random() % (Last - First + 1));
  }

  milliseconds span(unsigned First, unsigned Last) {
    return milliseconds(number(First, Last));
  }

  /// \returns any fault; those of VMs and links come more often.
  fault any() {
    switch (number(0, 16)) {
    case 0:
    case 1:
      return vm_killed{vm()};
    case 2:
    case 3:
    case 4:
      return vm_terminated{vm()};
    case 5:
      return vm_paused{vm()};
    case 6:
    case 7:
      return upstream_link_harmed{upstream(), mode()};
    case 8:
      return store_link_harmed{vm(), mode()};
    case 9:
      return store_down{};
    case 10:
      return store_compacted{};
    case 11:
    case 12:
      return configuration_written{};
    case 13:
      return upstream_drained{upstream()};
    case 14:
      return upstream_slowed{upstream()};
    case 15:
      return upstream_refusing{upstream()};
    default:
      return upstream_failing{upstream()};
    }
  }

private:
  unsigned vm() { return number(0, Vms - 1); }
  unsigned upstream() { return number(0, Upstreams - 1); }
  link_mode mode() {
    constexpr link_mode Harms[] = {link_mode::Delayed, link_mode::Resetting,
                                   link_mode::OneWay, link_mode::Silent};
    return Harms[number(0, std::size(Harms) - 1)];
  }

  std::mt19937 Random;
  unsigned Vms;
  unsigned Upstreams;
};

/// Adds a few silences of the store. They are drawn by themselves, so that the
/// other faults of a seed stay those that they were before there were silences.
void addSilences(std::vector<planned_fault> &Plan,
                 const soak_options &Options) {
  fault_draws Draws(Options, /*Upstreams=*/1, SilenceStream);
  auto LastMs =
      static_cast<unsigned>(std::chrono::milliseconds(Options.Length).count());
  for (unsigned Left = Draws.number(0, MostSilences); Left > 0; --Left)
    Plan.push_back({Draws.span(0, LastMs), Draws.span(ShortestMs, LongestMs),
                    store_silent{}});
}

/// Adds links that send responses twice.
void addCopyings(std::vector<planned_fault> &Plan, const soak_options &Options,
                 unsigned Upstreams) {
  fault_draws Draws(Options, Upstreams, CopyingStream);
  auto LastMs =
      static_cast<unsigned>(std::chrono::milliseconds(Options.Length).count());
  for (unsigned Left = Draws.number(1, MostCopyings); Left > 0; --Left)
    Plan.push_back({Draws.span(0, LastMs), Draws.span(ShortestMs, LongestMs),
                    upstream_link_harmed{Draws.number(0, Upstreams - 1),
                                         link_mode::Copying}});
}

/// Adds single answers of the store that are lost.
void addLostWatches(std::vector<planned_fault> &Plan,
                    const soak_options &Options) {
  fault_draws Draws(Options, /*Upstreams=*/1, LostWatchStream);
  auto LastMs =
      static_cast<unsigned>(std::chrono::milliseconds(Options.Length).count());
  for (unsigned Left = Draws.number(0, MostLostWatches); Left > 0; --Left)
    Plan.push_back(
        {Draws.span(0, LastMs), milliseconds(LongestOddMs),
         store_watch_lost{Draws.number(0, 1) == 0 ? "config" : "servers"}});
}

/// Adds upstreams that leave or want a pause by their own word, answers that
/// are cut or have no end, and upstreams that refuse together.
void addOddUpstreams(std::vector<planned_fault> &Plan,
                     const soak_options &Options, unsigned Upstreams) {
  fault_draws Draws(Options, Upstreams, OddUpstreamStream);
  auto LastMs =
      static_cast<unsigned>(std::chrono::milliseconds(Options.Length).count());
  for (unsigned Left = Draws.number(2, MostOddUpstreams); Left > 0; --Left) {
    unsigned Upstream = Draws.number(0, Upstreams - 1);
    const fault Kinds[] = {upstream_leaving{Upstream},
                           upstream_pausing{Upstream},
                           upstream_link_harmed{Upstream, link_mode::Endless},
                           upstream_link_harmed{Upstream, link_mode::Cutting},
                           shard_refusing{Upstream / Replicas},
                           all_refusing{}};
    const fault &What = Kinds[Draws.number(0, std::size(Kinds) - 1)];
    Plan.push_back(
        {Draws.span(0, LastMs), Draws.span(ShortestOddMs, LongestOddMs), What});
  }
}

} // namespace

std::vector<planned_fault>
masticproxy::soak::planFaults(const soak_options &Options, unsigned Upstreams) {
  fault_draws Draws(Options, Upstreams);
  std::vector<planned_fault> Plan;
  for (milliseconds At{0}; At < Options.Length;
       At += Draws.span(0, LongestGapMs)) {
    milliseconds Next = At;
    for (unsigned Left = Draws.number(1, LongestSeries); Left > 0; --Left) {
      if (Next >= Options.Length)
        break;
      milliseconds Span = Draws.span(ShortestMs, LongestMs);
      Plan.push_back({Next, Span, Draws.any()});
      Next += Draws.span(0, SeriesGapMs);
    }
  }
  addSilences(Plan, Options);
  addCopyings(Plan, Options, Upstreams);
  addLostWatches(Plan, Options);
  addOddUpstreams(Plan, Options, Upstreams);
  std::stable_sort(Plan.begin(), Plan.end(),
                   [](const planned_fault &A, const planned_fault &B) {
                     return A.At < B.At;
                   });
  return Plan;
}
