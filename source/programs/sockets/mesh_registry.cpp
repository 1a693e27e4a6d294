// What operators and keys need of the registry on real sockets.
#include "programs/sockets/socket_templates.hpp"

namespace banktide {

template class KeyCoordinator<SocketWorld, RegisterClient<SocketWorld>>;
template class MeshRegistry<SocketWorld>;

}  // namespace banktide
