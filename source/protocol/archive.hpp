// Binary serialization with cereal. The loading archive reads directly from the
// received bytes and rejects any length that exceeds the remaining bytes, so a
// malformed frame causes an error instead of a large allocation.
#pragma once

#include "transport/result.hpp"

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <memory>
#include <string>

namespace banktide {

using Bytes = std::string;

// A payload that is sent to several peers is serialized once and shared.
using SharedBytes = std::shared_ptr<Bytes const>;

class SaveArchive : public cereal::OutputArchive<SaveArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit SaveArchive(Bytes& out)
      : cereal::OutputArchive<SaveArchive, cereal::AllowEmptyClassElision>(this), out_(out) {}
  void put(void const* const data, std::size_t const n) { out_.append(static_cast<char const*>(data), n); }

 private:
  Bytes& out_;
};

class LoadArchive : public cereal::InputArchive<LoadArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit LoadArchive(Bytes const& in)
      : cereal::InputArchive<LoadArchive, cereal::AllowEmptyClassElision>(this), in_(in) {}
  void get(void* const data, std::size_t const n) {
    if (n > left()) throw cereal::Exception("truncated");
    if (n == 0) return;
    std::memcpy(data, in_.data() + at_, n);
    at_ += n;
  }
  std::size_t left() const { return in_.size() - at_; }

 private:
  Bytes const& in_;
  std::size_t at_ = 0;
};

template <class T>
inline typename std::enable_if<std::is_arithmetic<T>::value, void>::type CEREAL_SAVE_FUNCTION_NAME(SaveArchive& ar,
                                                                                                   T const& t) {
  ar.put(std::addressof(t), sizeof(t));
}
template <class T>
inline typename std::enable_if<std::is_arithmetic<T>::value, void>::type CEREAL_LOAD_FUNCTION_NAME(LoadArchive& ar,
                                                                                                   T& t) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t raw = 0;
    ar.get(&raw, 1);
    if (raw > 1) throw cereal::Exception("bad bool");
    t = raw == 1;
  } else {
    ar.get(std::addressof(t), sizeof(t));
  }
}
template <class T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(SaveArchive& ar, cereal::NameValuePair<T>& t) {
  ar(t.value);
}
template <class T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(LoadArchive& ar, cereal::NameValuePair<T>& t) {
  ar(t.value);
}
template <class T>
inline void CEREAL_SAVE_FUNCTION_NAME(SaveArchive& ar, cereal::SizeTag<T> const& t) {
  std::uint32_t const n = static_cast<std::uint32_t>(t.size);
  ar.put(&n, sizeof n);
}
template <class T>
inline void CEREAL_LOAD_FUNCTION_NAME(LoadArchive& ar, cereal::SizeTag<T>& t) {
  std::uint32_t n = 0;
  ar.get(&n, sizeof n);
  if (n > ar.left()) throw cereal::Exception("length beyond the frame");
  t.size = n;
}
template <class T>
inline void CEREAL_SAVE_FUNCTION_NAME(SaveArchive& ar, cereal::BinaryData<T> const& t) {
  ar.put(t.data, static_cast<std::size_t>(t.size));
}
template <class T>
inline void CEREAL_LOAD_FUNCTION_NAME(LoadArchive& ar, cereal::BinaryData<T>& t) {
  ar.get(t.data, static_cast<std::size_t>(t.size));
}

template <class T>
Bytes pack(T const& t) {
  Bytes out;
  SaveArchive ar(out);
  ar(t);
  return out;
}

template <class T>
SharedBytes pack_shared(T const& t) {
  return std::make_shared<Bytes const>(pack(t));
}

template <class T>
Result<T> unpack(Bytes const& raw) {
  try {
    LoadArchive ar(raw);
    T t{};
    ar(t);
    if (ar.left() != 0) return make_error("decode", "", "bytes left over");
    return t;
  } catch (std::exception const& e) {
    return make_error("decode", "", e.what());
  }
}

}  // namespace banktide

CEREAL_REGISTER_ARCHIVE(banktide::SaveArchive)
CEREAL_REGISTER_ARCHIVE(banktide::LoadArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(banktide::LoadArchive, banktide::SaveArchive)
