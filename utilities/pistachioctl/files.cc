#include "files.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace pistachiowalk {

namespace leaf = boost::leaf;

leaf::result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return leaf::new_error(FileError{path, "cannot be read"});
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

leaf::result<void> WriteNewFile(const std::string& path,
                                const std::string& content,
                                FileAccess access) {
  const mode_t mode = access == FileAccess::kPrivate ? 0600 : 0644;
  const int fd =
      open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  if (fd < 0) {
    return leaf::new_error(FileError{path, std::strerror(errno)});
  }
  const ssize_t written = write(fd, content.data(), content.size());
  const bool is_closed = close(fd) == 0;
  if (written != static_cast<ssize_t>(content.size()) || !is_closed) {
    return leaf::new_error(FileError{path, "could not be written whole"});
  }
  return {};
}

}  // namespace pistachiowalk
