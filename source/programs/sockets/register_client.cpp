// The coordinating side of the register on real sockets.
#include "programs/sockets/socket_templates.hpp"

namespace banktide {

template class RegisterClient<SocketWorld>;

}  // namespace banktide
