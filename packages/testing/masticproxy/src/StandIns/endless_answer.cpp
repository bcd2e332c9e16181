#include "masticproxy/src/StandIns/endless_answer.h"

using namespace masticproxy;

namespace {

constexpr std::size_t PieceBytes = 4096;

} // namespace

std::vector<endless_answer> masticproxy::endlessAnswers() {
  const std::string Line = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Line + "transfer-encoding: chunked\r\n\r\n";
  return {{"HTTP/1.1 200 ", std::string(PieceBytes, 'o')},
          {Line, std::string(PieceBytes, 'n')},
          {Line + "x: ", std::string(PieceBytes, 'v')},
          {Line, "x: y\r\n"},
          {Line + "\r\n", std::string(PieceBytes, 'b')},
          {Chunked, std::string(PieceBytes, '0')},
          {Chunked + "5;", std::string(PieceBytes, 'e')},
          {Chunked, "1000\r\n" + std::string(PieceBytes, 'c') + "\r\n"},
          {Chunked + "0\r\nx: ", std::string(PieceBytes, 't')}};
}
