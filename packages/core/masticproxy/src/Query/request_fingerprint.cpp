#include "masticproxy/src/Query/request_fingerprint.h"

#include "masticproxy/src/Query/engine_event.h"

using namespace masticproxy;

query_fingerprint masticproxy::fingerprintOf(const query_arrived &Request) {
  if (!Request.Forwarded)
    return fingerprintOf(Request.Index, Request.Body);
  return fingerprintOf(Request.Forwarded->Target, Request.Forwarded->Body);
}
