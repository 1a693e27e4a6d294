// The node's side of a zone feed on real sockets.
#include "programs/sockets/socket_templates.hpp"

namespace banktide {

template class ZoneFollower<SocketWorld>;

}  // namespace banktide
