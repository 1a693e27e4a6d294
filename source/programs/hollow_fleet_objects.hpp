// Measures the cost of single objects: the memory of one view entry, route or key
// row, the processor time of operations that depend on their number, and the
// processor time of one small message over real sockets.
#pragma once

#include <ostream>

namespace banktide {

/// Writes lines "object,count,bytes each,microseconds for all" at four sizes each.
void measure_objects(std::ostream& out);
/// Writes the processor time of a request and its reply over loopback sockets, by payload size.
void measure_frames(std::ostream& out);

}  // namespace banktide
