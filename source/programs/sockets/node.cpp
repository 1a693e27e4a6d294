// The node on real sockets.
#include "programs/sockets/socket_templates.hpp"

namespace banktide {

template class MeshNode<SocketWorld>;

}  // namespace banktide
