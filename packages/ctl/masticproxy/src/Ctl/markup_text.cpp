#include "masticproxy/src/Ctl/markup_text.h"

using namespace masticproxy;

std::string masticproxy::markupText(std::string_view Text) {
  std::string Escaped;
  for (char C : Text) {
    if (C == '&')
      Escaped += "&amp;";
    else if (C == '<')
      Escaped += "&lt;";
    else if (C == '>')
      Escaped += "&gt;";
    else if (C == '"')
      Escaped += "&quot;";
    else if (C == '\'')
      Escaped += "&#39;";
    else
      Escaped.push_back(C);
  }
  return Escaped;
}
