#include "masticproxy/src/Net/http_framing.h"

#include <boost/beast/core/string.hpp>

using namespace masticproxy;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// The first version that has transfer codings.
constexpr unsigned CodingVersion = 11;

} // namespace

bool internal::isFramedClearly(const http::fields &Fields, unsigned Version) {
  std::size_t Lengths = Fields.count(http::field::content_length);
  std::size_t Codings = Fields.count(http::field::transfer_encoding);
  if (Codings == 0)
    return Lengths <= 1;
  // A coding that is not understood hides where the body ends, or changes it.
  return Lengths == 0 && Codings == 1 && Version >= CodingVersion &&
         beast::iequals(Fields[http::field::transfer_encoding], "chunked");
}
