#ifndef MASTICPROXY_NET_HTTP_FRAMING_H
#define MASTICPROXY_NET_HTTP_FRAMING_H

#include <boost/beast/http/fields.hpp>

namespace masticproxy::internal {

/// \returns whether all readers find the end of a message with these \p Fields
/// at the same place: it states one length, is chunked and nothing else, or
/// neither. \p Version is HTTP's, 11 for HTTP/1.1.
bool isFramedClearly(const boost::beast::http::fields &Fields,
                     unsigned Version);

} // namespace masticproxy::internal

#endif
