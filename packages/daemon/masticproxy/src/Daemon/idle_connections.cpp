#include "masticproxy/src/Daemon/idle_connections.h"

#include "masticproxy/src/Net/http_connection.h"

using namespace masticproxy;

void idle_connections::keep(connection Connection, time_point Now) {
  Kept.push_front({std::move(Connection), Now});
}

idle_connections::connection idle_connections::take() {
  connection Connection = std::move(Kept.front().Connection);
  Kept.pop_front();
  return Connection;
}

void idle_connections::closeOldest() {
  Kept.back().Connection->close();
  Kept.pop_back();
}

std::size_t idle_connections::closeUnusedSince(time_point Time) {
  std::size_t Closed = 0;
  while (!Kept.empty() && Kept.back().UsedAt < Time) {
    closeOldest();
    ++Closed;
  }
  return Closed;
}
