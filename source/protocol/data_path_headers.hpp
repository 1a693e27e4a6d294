// Names of the HTTP headers on the data path, which the platform defines, and
// parsing of structured header values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banktide {

/// The name of each header. All are valid for the lifetime of the process.
struct DataPathHeaders {
  std::string_view attempt_id;          ///< one attempt of a client; forwarded unchanged and returned
  std::string_view remaining_ms;        ///< milliseconds until the client's deadline
  std::string_view target_instance;     ///< id of the only backend that may run the request
  std::string_view answering_instance;  ///< id of the backend that answered
  std::string_view key;                 ///< key of a request to a keyed service
  std::string_view calling_service;     ///< service on the machine where the request originated
  std::string_view not_executed;        ///< on an answer: the request was not run
  std::string_view load_level;          ///< on an answer: how busy the backend is
  std::string_view seal;                ///< on an answer: the backend's proof of authenticity
  std::string_view tenant;              ///< name of the tenant on whose behalf the request runs
};

/// The load that a backend reports.
struct LoadLevel {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  bool operator==(LoadLevel const&) const = default;
};

/// Parses the three comma-separated numbers of a load level.
std::optional<LoadLevel> parse_load_level(std::string_view text);

/// The highest key of a keyed service.
inline constexpr std::uint32_t key_maximum = 65535;

/// Parses a key: a decimal number up to `key_maximum`.
std::optional<std::uint32_t> parse_key(std::string_view text);

}  // namespace banktide
