// The table of message kinds and their names in logs.
#include "protocol/message_names.hpp"

#include "protocol/forward_messages.hpp"
#include "protocol/key_messages.hpp"
#include "protocol/sign_off_messages.hpp"

#include <algorithm>
#include <iterator>

namespace banktide {

namespace {

struct NamedKind {
  std::uint8_t kind;
  std::string_view name;
};

constexpr NamedKind named_kinds[] = {
    {ReadRevisions::kind, "peek_revisions"},
    {ReadRegister::kind, "peek"},
    {ZoneUpdate::kind, "news"},
    {Follow::kind, "follow"},
    {RegisterValuesRequest::kind, "values"},
    {Join::kind, "join"},
    {RegistryExchange::kind, "meet"},
    {Heartbeat::kind, "heartbeat"},
    {Suspect::kind, "suspect"},
    {ZoneAnnouncement::kind, "entry"},
    {ChosenValue::kind, "chosen"},
    {Forward::kind, "forward"},
    {KeyReport::kind, "key_report"},
    {SignOffRecord::kind, "sign_off"},
    {SignOffQuery::kind, "sign_off_query"},
};

}  // namespace

std::string_view message_name(std::uint8_t const kind) {
  auto const found = std::find_if(std::begin(named_kinds), std::end(named_kinds),
                                  [kind](NamedKind const& named) { return named.kind == kind; });
  return found == std::end(named_kinds) ? "other" : found->name;
}

}  // namespace banktide
