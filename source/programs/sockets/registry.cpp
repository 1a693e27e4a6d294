// The registry on real sockets.
#include "programs/sockets/socket_templates.hpp"

namespace banktide {

template class Registry<SocketWorld>;
template class ZoneFeed<SocketWorld>;

}  // namespace banktide
