// The large templates on real sockets, each compiled once in a file of its own:
// a program that includes this takes them ready made.
#pragma once

#include "programs/mesh_node.hpp"
#include "programs/mesh_registry.hpp"
#include "transport/socket_world.hpp"

namespace banktide {

extern template class ZoneFollower<SocketWorld>;
extern template class LocalBackend<SocketWorld>;
extern template class RequestPath<SocketWorld, LocalBackend<SocketWorld>>;
extern template class MeshNode<SocketWorld>;
extern template class RegisterClient<SocketWorld>;
extern template class Registry<SocketWorld>;
extern template class ZoneFeed<SocketWorld>;
extern template class KeyCoordinator<SocketWorld, RegisterClient<SocketWorld>>;
extern template class MeshRegistry<SocketWorld>;

}  // namespace banktide
