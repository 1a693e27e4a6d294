// What the processes say to each other. Each question names its kind and its
// reply; `Told` marks one-way news that wants no answer.
#pragma once

#include "protocol/call_messages.hpp"
#include "protocol/operator_messages.hpp"
#include "protocol/register_messages.hpp"
#include "protocol/slice_lease_messages.hpp"
#include "protocol/zone_messages.hpp"
