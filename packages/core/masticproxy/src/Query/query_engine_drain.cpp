#include "masticproxy/src/Query/query_engine.h"

using namespace masticproxy;

void query_engine::on(const drain_notice &Event) {
  Upstreams.onNotice(Event, Clock.now());
}

void query_engine::sendDrainNotices() {
  for (drain_notice &Notice : Upstreams.takeNotices(Clock.now()))
    Commands.emplace_back(std::move(Notice));
}
