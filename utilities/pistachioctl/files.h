#pragma once

#include <boost/leaf.hpp>
#include <string>

namespace pistachiowalk {

// A file that cannot be read or written.
struct FileError {
  std::string path;
  std::string detail;
};

enum class FileAccess {
  kPublic,
  // Readable by the owner alone.
  kPrivate,
};

// Errors: FileError.
boost::leaf::result<std::string> ReadFile(const std::string& path);
// Refuses to replace a file. Errors: FileError.
boost::leaf::result<void> WriteNewFile(const std::string& path,
                                       const std::string& content,
                                       FileAccess access);

}  // namespace pistachiowalk
