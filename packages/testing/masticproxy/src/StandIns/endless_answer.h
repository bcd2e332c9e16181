#ifndef MASTICPROXY_STANDINS_ENDLESS_ANSWER_H
#define MASTICPROXY_STANDINS_ENDLESS_ANSWER_H

#include <string>
#include <vector>

namespace masticproxy {

/// \brief An answer that never ends: its start, and what follows again and
/// again.
struct endless_answer {
  std::string Start;
  std::string Then;
};

/// \returns one for each part of the grammar of an HTTP answer.
std::vector<endless_answer> endlessAnswers();

} // namespace masticproxy

#endif
