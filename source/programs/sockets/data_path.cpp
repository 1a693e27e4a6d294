// The data path on real sockets.
#include "programs/sockets/socket_templates.hpp"

namespace banktide {

template class LocalBackend<SocketWorld>;
template class RequestPath<SocketWorld, LocalBackend<SocketWorld>>;

}  // namespace banktide
