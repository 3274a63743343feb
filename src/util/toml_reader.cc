#include "util/toml_reader.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>
#include <sstream>
#include <tuple>

namespace guavacross::util {

namespace {

std::string FormatPosition(const toml::source_region& region) {
  std::ostringstream text;
  text << "line " << region.begin.line << ", column " << region.begin.column;
  return text.str();
}

std::optional<double> ParseFinite(const std::string& text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_end != end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

// Formats a number without the trailing zeros of std::to_string.
std::string FormatNumber(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

}  // namespace

// One table of the document, with the keys that have been read.
struct TomlReader::Node {
  const toml::table* m_table;
  std::string m_path;
  std::set<std::string, std::less<>> m_read_keys;
};

struct TomlReader::Document {
  ErrorKind m_kind;
  toml::table m_root;
  toml::table m_empty;
  std::vector<std::shared_ptr<Node>> m_nodes;

  struct Problem {
    // A missing key has no position of its own, so other errors are reported
    // first.
    bool m_missing;
    toml::source_position m_position;
    std::string m_text;
  };
  std::vector<Problem> m_problems;

  void AddProblem(const toml::source_region& region,
                  const std::string& key,
                  const std::string& what,
                  bool missing = false) {
    const std::string subject = key.empty() ? "" : key + ": ";
    m_problems.push_back({missing, region.begin,
                          FormatPosition(region) + ": " + subject + what});
  }

  std::shared_ptr<Node> AddNode(const toml::table* table, std::string path) {
    auto node = std::make_shared<Node>(
        Node{.m_table = table, .m_path = std::move(path)});
    m_nodes.push_back(node);
    return node;
  }
};

namespace {

std::string Join(const std::string& path, std::string_view key) {
  return path.empty() ? std::string(key) : path + "." + std::string(key);
}

}  // namespace

TomlReader::TomlReader(std::shared_ptr<Document> document,
                       std::shared_ptr<Node> node)
    : m_document(std::move(document)), m_node(std::move(node)) {}

TomlReader::TomlReader(const TomlReader&) = default;
TomlReader& TomlReader::operator=(const TomlReader&) = default;
TomlReader::~TomlReader() = default;

TomlReader TomlReader::Parse(std::string_view text, ErrorKind kind) {
  auto document = std::make_shared<Document>();
  document->m_kind = kind;
  try {
    document->m_root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    document->AddProblem(error.source(), "", std::string(error.description()));
  }
  auto node = document->AddNode(&document->m_root, "");
  return TomlReader(std::move(document), std::move(node));
}

bool TomlReader::Has(const std::string& key) const {
  return m_node->m_table->contains(key);
}

void TomlReader::FailAt(const std::string& key, const std::string& what) {
  const toml::node* value = m_node->m_table->get(key);
  const toml::source_region& region =
      value != nullptr ? value->source() : m_node->m_table->source();
  const bool missing = value == nullptr;
  m_document->AddProblem(region, Join(m_node->m_path, key), what, missing);
}

void TomlReader::Fail(const std::string& what) {
  m_document->AddProblem(m_node->m_table->source(), m_node->m_path, what);
}

// Marks `key` as read and looks up its value. If there is none, returns RESULT,
// after recording an error if the key is required.
#define GUAVACROSS_FIND_OR_RETURN(VALUE, RESULT)       \
  m_node->m_read_keys.insert(key);                     \
  const toml::node* VALUE = m_node->m_table->get(key); \
  if (VALUE == nullptr) {                              \
    if (presence == Presence::kRequired) {             \
      FailAt(key, "is missing");                       \
    }                                                  \
    return RESULT;                                     \
  }

void TomlReader::ReadString(const std::string& key,
                            Presence presence,
                            std::string* out) {
  GUAVACROSS_FIND_OR_RETURN(value, );
  if (!value->is_string()) {
    FailAt(key, "must be a string");
    return;
  }
  *out = value->as_string()->get();
}

void TomlReader::ReadInt(const std::string& key,
                         Presence presence,
                         std::int64_t min,
                         std::int64_t max,
                         std::int64_t* out) {
  GUAVACROSS_FIND_OR_RETURN(value, );
  if (!value->is_integer()) {
    FailAt(key, "must be a whole number");
    return;
  }
  const std::int64_t number = value->as_integer()->get();
  if (number < min || number > max) {
    FailAt(key, "must be from " + std::to_string(min) + " to " +
                    std::to_string(max));
    return;
  }
  *out = number;
}

void TomlReader::ReadInt(const std::string& key,
                         Presence presence,
                         int min,
                         int max,
                         int* out) {
  std::int64_t number = *out;
  ReadInt(key, presence, std::int64_t{min}, std::int64_t{max}, &number);
  *out = static_cast<int>(number);
}

void TomlReader::ReadDouble(const std::string& key,
                            Presence presence,
                            double min,
                            double max,
                            double* out) {
  GUAVACROSS_FIND_OR_RETURN(value, );
  if (!value->is_number()) {
    FailAt(key, "must be a number");
    return;
  }
  const double number = value->value<double>().value_or(NAN);
  // This form of the condition rejects NaN too.
  if (!(number >= min && number <= max)) {
    FailAt(key,
           "must be from " + FormatNumber(min) + " to " + FormatNumber(max));
    return;
  }
  *out = number;
}

void TomlReader::ReadLimited(const std::string& key,
                             Presence presence,
                             double min,
                             double max,
                             double* out) {
  GUAVACROSS_FIND_OR_RETURN(value, );
  const toml::value<std::string>* const text = value->as_string();
  if (text != nullptr && text->get().empty()) {
    return;
  }
  const std::optional<double> number =
      text != nullptr ? ParseFinite(text->get()) : value->value<double>();
  if (!number.has_value() || std::isnan(*number)) {
    FailAt(key, "must be a number");
  } else if (*number < 0 && min >= 0) {
    FailAt(key, "must not be negative");
  } else {
    *out = std::clamp(*number, min, max);
  }
}

void TomlReader::ReadBool(const std::string& key,
                          Presence presence,
                          bool* out) {
  GUAVACROSS_FIND_OR_RETURN(value, );
  if (!value->is_boolean()) {
    FailAt(key, "must be true or false");
    return;
  }
  *out = value->as_boolean()->get();
}

void TomlReader::ReadMilliseconds(const std::string& key,
                                  Presence presence,
                                  std::int64_t min_ms,
                                  std::int64_t max_ms,
                                  Duration* out) {
  std::int64_t number =
      std::chrono::duration_cast<std::chrono::milliseconds>(*out).count();
  ReadInt(key, presence, min_ms, max_ms, &number);
  *out = std::chrono::milliseconds(number);
}

void TomlReader::ReadEndpoint(const std::string& key,
                              Presence presence,
                              Endpoint* out) {
  std::string text;
  ReadString(key, presence, &text);
  // `Has` makes an empty string fail too. If the value is not a string,
  // `ReadString` has already recorded that error.
  if (Has(key) && !ParseEndpoint(text, out)) {
    FailAt(key, "must be an IP number and a port, like 10.0.0.1:8080");
  }
}

void TomlReader::ReadStrings(const std::string& key,
                             Presence presence,
                             std::vector<std::string>* out) {
  GUAVACROSS_FIND_OR_RETURN(value, );
  const toml::array* array = value->as_array();
  if (array == nullptr) {
    FailAt(key, "must be an array of strings");
    return;
  }
  std::vector<std::string> strings;
  for (const toml::node& element : *array) {
    if (!element.is_string()) {
      FailAt(key, "must be an array of strings");
      return;
    }
    strings.push_back(element.as_string()->get());
  }
  *out = std::move(strings);
}

TomlReader TomlReader::Table(const std::string& key, Presence presence) {
  const std::string path = Join(m_node->m_path, key);
  const auto empty_table =
      TomlReader(m_document, m_document->AddNode(&m_document->m_empty, path));
  GUAVACROSS_FIND_OR_RETURN(value, empty_table);
  const toml::table* table = value->as_table();
  if (table == nullptr) {
    FailAt(key, "must be a table");
    return empty_table;
  }
  return TomlReader(m_document, m_document->AddNode(table, path));
}

std::vector<TomlReader> TomlReader::Tables(const std::string& key,
                                           Presence presence) {
  std::vector<TomlReader> tables;
  GUAVACROSS_FIND_OR_RETURN(value, tables);
  const toml::array* array = value->as_array();
  if (array == nullptr) {
    FailAt(key, "must be an array of tables");
    return tables;
  }
  int index = 0;
  for (const toml::node& element : *array) {
    const toml::table* table = element.as_table();
    if (table == nullptr) {
      FailAt(key, "must be an array of tables");
      return tables;
    }
    const std::string path =
        Join(m_node->m_path, key) + "[" + std::to_string(index++) + "]";
    tables.push_back(TomlReader(m_document, m_document->AddNode(table, path)));
  }
  return tables;
}

std::vector<std::pair<std::string, TomlReader>> TomlReader::NamedTables(
    const std::string& key,
    Presence presence) {
  std::vector<std::pair<std::string, TomlReader>> tables;
  TomlReader parent = Table(key, presence);
  for (const auto& [name, value] : *parent.m_node->m_table) {
    tables.emplace_back(
        std::string(name.str()),
        parent.Table(std::string(name.str()), Presence::kRequired));
  }
  // toml++ sorts keys by name; restore the order of the document, which users
  // expect.
  std::stable_sort(tables.begin(), tables.end(),
                   [](const auto& a, const auto& b) {
                     const auto& left = a.second.m_node->m_table->source();
                     const auto& right = b.second.m_node->m_table->source();
                     return left.begin < right.begin;
                   });
  return tables;
}

std::string TomlReader::Text() const {
  std::ostringstream text;
  text << toml::toml_formatter(*m_node->m_table);
  return text.str();
}

Result<void> TomlReader::Finish() {
  for (const auto& node : m_document->m_nodes) {
    for (const auto& [key, value] : *node->m_table) {
      if (!node->m_read_keys.contains(key.str())) {
        m_document->AddProblem(key.source(), Join(node->m_path, key.str()),
                               "unknown key");
      }
    }
  }
  const auto& problems = m_document->m_problems;
  const auto first = std::min_element(
      problems.begin(), problems.end(), [](const auto& a, const auto& b) {
        return std::tie(a.m_missing, a.m_position) <
               std::tie(b.m_missing, b.m_position);
      });
  if (first == problems.end()) {
    return {};
  }
  return guavacross::Fail(m_document->m_kind, first->m_text);
}

}  // namespace guavacross::util
