// What single objects of the product cost: the memory of one more entry of a
// view, route or row of keys, the processor time of the operations that grow
// with them, and of one small message through real sockets.
#pragma once

#include <ostream>

namespace banktide {

/// Writes lines "object,count,bytes each,microseconds for all" at four sizes each.
void measure_objects(std::ostream& out);
/// Writes the processor time of a question and its answer over loopback sockets, by payload size.
void measure_frames(std::ostream& out);

}  // namespace banktide
