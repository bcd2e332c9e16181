#include "masticproxy/src/Daemon/failure_pause.h"

#include "masticproxy/src/Base/retry_backoff.h"

#include <random>

using namespace masticproxy;

duration masticproxy::pauseAfterFailure(retry_backoff &Backoff) {
  thread_local std::minstd_rand Random{std::random_device{}()};
  return Backoff.onFailure(std::uniform_real_distribution<>(0, 1)(Random));
}
