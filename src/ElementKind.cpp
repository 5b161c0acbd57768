#include "ElementKind.h"

namespace pollenway {

std::string_view Name(ElementKind aKind)
{
  switch (aKind) {
    case ElementKind::Region:
      return "region";
    case ElementKind::Link:
      return "link";
    case ElementKind::Place:
      return "place";
    case ElementKind::Service:
      return "service";
    case ElementKind::Route:
      return "route";
    case ElementKind::Target:
      return "target";
    case ElementKind::Workspace:
      return "workspace";
    case ElementKind::Key:
      return "key";
    case ElementKind::ClientBlock:
      return "client block";
    case ElementKind::Shift:
      break;
  }
  return "shift";
}

} // namespace pollenway
