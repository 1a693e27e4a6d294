// The messages between processes. Each request names its kind and its reply type;
// one-way messages have `NoReply`.
#pragma once

#include "protocol/call_messages.hpp"
#include "protocol/operator_messages.hpp"
#include "protocol/register_messages.hpp"
#include "protocol/slice_lease_messages.hpp"
#include "protocol/zone_messages.hpp"
