#include "masticproxy/src/Base/counter_registry.h"

using namespace masticproxy;

counter &counter_registry::get(std::string_view Name, std::string_view Labels) {
  std::string Key(Name);
  if (!Labels.empty())
    Key.append("{").append(Labels).append("}");
  std::lock_guard<std::mutex> Lock(Mutex);
  std::unique_ptr<counter> &Slot = Counters[Key];
  if (!Slot)
    Slot = std::make_unique<counter>();
  return *Slot;
}

histogram &counter_registry::spans(std::string_view Name,
                                   std::string_view Labels) {
  histogram_key Key(Name, Labels);
  std::lock_guard<std::mutex> Lock(Mutex);
  std::unique_ptr<histogram> &Slot = Histograms[std::move(Key)];
  if (!Slot)
    Slot = std::make_unique<histogram>();
  return *Slot;
}

std::string counter_registry::prometheusText() const {
  std::string Text;
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Key, Counter] : Counters) {
    Text.append("masticproxy_").append(Key).append(" ");
    Text.append(std::to_string(Counter->value())).append("\n");
  }
  for (const auto &[Key, Spans] : Histograms)
    Text += Spans->prometheusText("masticproxy_" + Key.first, Key.second);
  return Text;
}
