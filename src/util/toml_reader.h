#ifndef GUAVACROSS_UTIL_TOML_READER_H_
#define GUAVACROSS_UTIL_TOML_READER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "guavacross/time.h"

namespace guavacross::util {

/// Whether a key must be present.
enum class Presence { kOptional, kRequired };

/// Reads and validates values of a TOML document.
///
/// Create one with `Parse`, call the `Read...` functions for every allowed key,
/// then call `Finish` on the root. Errors are collected until `Finish`, which
/// reports the first by position: `line L, column C: KEY: what is wrong`. A key
/// that was never read is an error. A `Read...` function does not change its
/// output when the key is missing or its value is invalid. Not thread safe.
class TomlReader {
 public:
  /// Parses `text`. `Finish` reports errors as `kind`.
  static TomlReader Parse(std::string_view text, ErrorKind kind);

  TomlReader(const TomlReader&);
  TomlReader& operator=(const TomlReader&);
  ~TomlReader();

  void ReadString(const std::string& key, Presence presence, std::string* out);
  void ReadInt(const std::string& key,
               Presence presence,
               std::int64_t min,
               std::int64_t max,
               std::int64_t* out);
  void ReadInt(const std::string& key,
               Presence presence,
               int min,
               int max,
               int* out);
  /// Also accepts integers; NaN and infinities are errors.
  void ReadDouble(const std::string& key,
                  Presence presence,
                  double min,
                  double max,
                  double* out);
  /// Also accepts a finite number written as a string. An empty string leaves
  /// `out` unchanged. Numbers out of range are limited to it, except that a
  /// negative number is an error if `min` isn't negative.
  void ReadLimited(const std::string& key,
                   Presence presence,
                   double min,
                   double max,
                   double* out);
  void ReadBool(const std::string& key, Presence presence, bool* out);
  /// An integer in milliseconds; the key should end in `_ms`.
  void ReadMilliseconds(const std::string& key,
                        Presence presence,
                        std::int64_t min_ms,
                        std::int64_t max_ms,
                        Duration* out);
  /// A string `ip:port`, with an IPv6 address in brackets.
  void ReadEndpoint(const std::string& key, Presence presence, Endpoint* out);
  void ReadStrings(const std::string& key,
                   Presence presence,
                   std::vector<std::string>* out);

  bool Has(const std::string& key) const;
  /// The table under `key`; an empty one if it is missing.
  TomlReader Table(const std::string& key, Presence presence);
  /// The tables of the array of tables under `key`.
  std::vector<TomlReader> Tables(const std::string& key, Presence presence);
  /// The subtables of the table under `key` by name, in document order.
  std::vector<std::pair<std::string, TomlReader>> NamedTables(
      const std::string& key,
      Presence presence);

  /// Records an error about the value of `key`.
  void FailAt(const std::string& key, const std::string& what);
  /// Records an error about this table as a whole.
  void Fail(const std::string& what);

  /// This table's content as TOML text.
  std::string Text() const;

  /// Returns the first error, if any. Unknown keys are errors.
  Result<void> Finish();

 private:
  struct Document;
  struct Node;
  TomlReader(std::shared_ptr<Document> document, std::shared_ptr<Node> node);

  std::shared_ptr<Document> m_document;
  std::shared_ptr<Node> m_node;
};

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_TOML_READER_H_
