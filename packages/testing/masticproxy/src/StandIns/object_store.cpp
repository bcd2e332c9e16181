#include "masticproxy/src/StandIns/object_store.h"

#include <algorithm>

using namespace masticproxy;

const platform_object *object_store::get(std::string_view Kind,
                                         std::string_view Name) const {
  auto Found = Objects.find({std::string(Kind), std::string(Name)});
  bool Exists = Found != Objects.end() && !Found->second.Deleted;
  return Exists ? &Found->second : nullptr;
}

platform_write_result object_store::put(std::string_view Kind,
                                        std::string_view Name,
                                        std::uint64_t IfVersion,
                                        std::string_view Value) {
  return write(Kind, Name, IfVersion, Value, /*Deleted=*/false);
}

platform_write_result object_store::remove(std::string_view Kind,
                                           std::string_view Name,
                                           std::uint64_t IfVersion) {
  return write(Kind, Name, IfVersion, {}, /*Deleted=*/true);
}

platform_changes object_store::changesAfter(std::uint64_t After,
                                            std::string_view Kind) const {
  platform_changes Changes;
  Changes.Revision = Revision;
  for (const auto &[Key, Object] : Objects)
    if (Object.Version > After && (Kind.empty() || Object.Kind == Kind))
      Changes.Objects.push_back(Object);
  std::sort(Changes.Objects.begin(), Changes.Objects.end(),
            [](const platform_object &A, const platform_object &B) {
              return A.Version < B.Version;
            });
  return Changes;
}

platform_write_result object_store::write(std::string_view Kind,
                                          std::string_view Name,
                                          std::uint64_t IfVersion,
                                          std::string_view Value,
                                          bool Deleted) {
  const platform_object *Current = get(Kind, Name);
  std::uint64_t Version = Current ? Current->Version : 0;
  if (Version != IfVersion || (Deleted && !Current)) {
    platform_conflict Conflict;
    if (Current)
      Conflict.Current = *Current;
    return Conflict;
  }
  platform_object &Object = Objects[{std::string(Kind), std::string(Name)}];
  Object = {std::string(Kind), std::string(Name), ++Revision, Deleted,
            std::string(Value)};
  return Object;
}
