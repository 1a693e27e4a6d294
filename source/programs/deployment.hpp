// The two deployments that banktide is tested with, at their current sizes and
// rates: zones, machines, backends, the mix of calls, and the first routing
// revision and catalogue that an operator sends.
#pragma once

#include "state/layout.hpp"

namespace banktide {

struct BackendLocation {
  std::string service;
  std::size_t zone = 0;
};

struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  std::vector<std::size_t> nodes;  // in each zone; the first two are gateways
  std::vector<BackendLocation> backends;
  std::vector<std::string> mix;
  std::string routing, catalogue;
};

inline Deployment kibble() {
  return Deployment{
      "kibble",
      {"jnb-1", "jnb-2", "jnb-3", "jnb-4"},
      {4, 3, 3, 3},
      {{"catalogue", 0},
       {"catalogue", 0},
       {"catalogue", 1},
       {"catalogue", 2},
       {"catalogue", 3},
       {"deliveries", 0},
       {"deliveries", 0},
       {"deliveries", 1},
       {"deliveries", 1},
       {"orders", 0},
       {"orders", 1},
       {"orders", 2},
       {"orders", 3}},
      {"browse:GET:/browse:350:0", "pause:POST:/pause:140:2000", "pay:POST:/pay:145:0", "box:GET:/box:90:2000",
       "stock:GET:/stock:40:0", "courier:GET:/courier:30:2000"},
      R"({"cells":["jnb-1","jnb-2","jnb-3","jnb-4"],"services":{"catalogue":{"timeout_ms":1500},"deliveries":{"timeout_ms":2000,"key":{"header":"x-key","slices":32}},"orders":{"timeout_ms":2000}},"ways":[{"prefix":"/browse","service":"catalogue"},{"prefix":"/stock","service":"catalogue"},{"prefix":"/pause","service":"deliveries"},{"prefix":"/box","service":"deliveries"},{"prefix":"/courier","service":"deliveries"},{"prefix":"/pay","service":"orders"}]})",
      R"({"cells":{"jnb-1":{"deliveries":{"slices":[[0,15]]}},"jnb-2":{"deliveries":{"slices":[[16,31]]}}}})"};
}

inline Deployment nilewise() {
  return Deployment{
      "nilewise",
      {"cai-1", "cai-2", "cai-3", "cai-4"},
      {4, 4, 3, 3},
      {{"rates", 0},
       {"rates", 0},
       {"rates", 1},
       {"rates", 1},
       {"rates", 2},
       {"rates", 3},
       {"deposits", 0},
       {"deposits", 1},
       {"deposits", 2},
       {"deposits", 3},
       {"counter", 0},
       {"counter", 0},
       {"counter", 1},
       {"counter", 1}},
      {"rate:GET:/rates:180:0", "deposit:POST:/deposits:70:0", "settle:POST:/settle:50:800", "limit:GET:/limits:50:800",
       "ledger:GET:/ledger:30:0", "till:GET:/till:30:800"},
      R"({"cells":["cai-1","cai-2","cai-3","cai-4"],"services":{"rates":{"timeout_ms":1500},"deposits":{"timeout_ms":2000},"counter":{"timeout_ms":2000,"key":{"header":"x-key","slices":32}}},"ways":[{"prefix":"/rates","service":"rates"},{"prefix":"/deposits","service":"deposits"},{"prefix":"/ledger","service":"deposits"},{"prefix":"/settle","service":"counter"},{"prefix":"/limits","service":"counter"},{"prefix":"/till","service":"counter"}]})",
      R"({"cells":{"cai-1":{"counter":{"slices":[[0,15]]}},"cai-2":{"counter":{"slices":[[16,31]]}}}})"};
}

}  // namespace banktide
