#include "masticproxy/src/StandIns/open_loop.h"

#include <sys/resource.h>

using namespace masticproxy;
using std::chrono::steady_clock;

namespace {

constexpr double NanosecondsPerSecond = 1e9;

std::chrono::microseconds spanOf(const timeval &Time) {
  return std::chrono::seconds(Time.tv_sec) +
         std::chrono::microseconds(Time.tv_usec);
}

std::chrono::microseconds processorTime() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return spanOf(Usage.ru_utime) + spanOf(Usage.ru_stime);
}

} // namespace

open_loop::open_loop(open_loop_plan Plan)
    : Plan(Plan), Context(1), DueTimer(Context), EndTimer(Context),
      Total(static_cast<std::size_t>(
          Plan.Rate * static_cast<double>(Plan.Length.count()) / 1000.0)) {}

load_result open_loop::run(std::function<void(std::size_t)> NewSend) {
  Send = std::move(NewSend);
  std::chrono::microseconds Before = processorTime();
  Start = steady_clock::now();
  EndTimer.expires_after(Plan.Length + Plan.Timeout);
  EndTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      Context.stop();
  });
  sendDue();
  Context.run();
  giveUpRest();
  Result.ProcessorTime = processorTime() - Before;
  return std::move(Result);
}

void open_loop::finish(std::size_t Number, const std::string &Code,
                       double Coverage) {
  if (Open.erase(Number) == 0)
    return;
  addLatency(Number);
  ++Result.Codes[Code];
  Result.CoverageSum += Coverage;
  if (Sent == Total && Open.empty())
    Context.stop();
}

open_loop::time open_loop::dueTime(std::size_t Number) const {
  return Start +
         std::chrono::nanoseconds(static_cast<std::int64_t>(
             static_cast<double>(Number) * NanosecondsPerSecond / Plan.Rate));
}

void open_loop::sendDue() {
  while (Sent < Total && dueTime(Sent) <= steady_clock::now()) {
    Open.insert(Sent);
    Send(Sent++);
  }
  if (Sent == Total)
    return;
  DueTimer.expires_at(dueTime(Sent));
  DueTimer.async_wait([this](const boost::system::error_code &) { sendDue(); });
}

void open_loop::giveUpRest() {
  for (std::size_t Number : Open)
    addLatency(Number);
  for (std::size_t Number = Sent; Number < Total; ++Number)
    addLatency(Number);
  std::size_t Unfinished = Open.size() + (Total - Sent);
  if (Unfinished > 0)
    Result.Codes["unfinished"] = Unfinished;
}

void open_loop::addLatency(std::size_t Number) {
  auto Latency = std::chrono::duration_cast<std::chrono::microseconds>(
      steady_clock::now() - dueTime(Number));
  Result.Latencies.push_back(Latency.count());
}
