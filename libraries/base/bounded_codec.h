#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "base/named_id.h"

// cereal's portable binary format with bounded lengths. A length is checked
// before memory is allocated for it, because datagrams are untrusted input.
namespace pistachiowalk {

constexpr size_t kMaximumNameBytes = 1024;

// Reads or writes a length; throws if it exceeds `maximum`.
template <class Archive>
size_t ArchiveLength(Archive& archive, size_t length, size_t maximum) {
  auto coded = static_cast<uint32_t>(length);
  archive(coded);
  if (coded > maximum) {
    throw cereal::Exception("length exceeds its limit");
  }
  return coded;
}

template <class Archive>
void ArchiveText(Archive& archive, std::string& text, size_t maximum) {
  text.resize(ArchiveLength(archive, text.size(), maximum));
  archive(cereal::binary_data(text.data(), text.size()));
}

template <class Archive, class Tag>
void ArchiveName(Archive& archive, NamedId<Tag>& name) {
  std::string text = name.value();
  ArchiveText(archive, text, kMaximumNameBytes);
  name = NamedId<Tag>(std::move(text));
}

template <class Archive, class Item>
void ArchiveList(Archive& archive, std::vector<Item>& items, size_t maximum) {
  items.resize(ArchiveLength(archive, items.size(), maximum));
  for (Item& item : items) {
    archive(item);
  }
}

template <class Message>
std::string EncodeMessage(Message message) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return stream.str();
}

// nullopt if `bytes` is not exactly one complete message.
template <class Message>
std::optional<Message> DecodeMessage(std::string_view bytes) {
  try {
    std::istringstream stream{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(stream);
    Message message;
    archive(message);
    if (stream.peek() != std::istringstream::traits_type::eof()) {
      return std::nullopt;
    }
    return message;
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
}

}  // namespace pistachiowalk
