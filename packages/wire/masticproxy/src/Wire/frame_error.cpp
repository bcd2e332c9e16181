#include "masticproxy/src/Wire/frame_error.h"

using namespace masticproxy;

std::string_view masticproxy::toString(frame_error Error) {
  switch (Error) {
  case frame_error::TooLong:
    return "too_long";
  case frame_error::WrongVersion:
    return "wrong_version";
  case frame_error::WrongChecksum:
    return "wrong_checksum";
  case frame_error::Malformed:
    return "malformed";
  case frame_error::CutShort:
    return "cut_short";
  }
  return "unknown";
}
