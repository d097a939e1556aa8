#ifndef CICADAWIND_DOCUMENTS_DEPTHLIMITEDBUILDER_H
#define CICADAWIND_DOCUMENTS_DEPTHLIMITEDBUILDER_H

#include "Documents/JsonParsing.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cicadawind::internal {

/// \class DepthLimitedBuilder
/// \brief Builds a value from the events of a parser, and does not let it nest
/// deeper than MaxJsonDepth.
///
/// Implements the interface of nlohmann::json_sax, whose names it keeps. A
/// false return value ends the parsing.
class DepthLimitedBuilder {
public:
  using Json = nlohmann::json;
  // NOLINTBEGIN(readability-identifier-naming): the names that the parser calls
  using number_integer_t = Json::number_integer_t;
  using number_unsigned_t = Json::number_unsigned_t;
  using number_float_t = Json::number_float_t;
  using string_t = Json::string_t;
  using binary_t = Json::binary_t;

  explicit DepthLimitedBuilder(DeepValues Deep) : Deep(Deep) {}

  bool null() { return add(nullptr); }
  bool boolean(bool Value) { return add(Value); }
  bool number_integer(number_integer_t Value) { return add(Value); }
  bool number_unsigned(number_unsigned_t Value) { return add(Value); }
  bool number_float(number_float_t Value, const string_t &) {
    return add(Value);
  }
  bool string(string_t &Value) { return add(std::move(Value)); }
  bool binary(binary_t &Value) { return add(std::move(Value)); }
  bool start_object(std::size_t) { return open(Json::object()); }
  bool key(string_t &Name) {
    if (LeftOutDepth == 0)
      Key = std::move(Name);
    return true;
  }
  bool end_object() { return close(); }
  bool start_array(std::size_t) { return open(Json::array()); }
  bool end_array() { return close(); }
  bool parse_error(std::size_t, const std::string &, const Json::exception &E) {
    ErrorText = E.what();
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

  /// Returns the value that was built.
  Json &root() { return Root; }
  /// Returns why the parsing ended early.
  const std::string &errorText() const { return ErrorText; }

private:
  bool add(Json Value) {
    if (LeftOutDepth == 0)
      place(std::move(Value));
    return true;
  }
  bool open(Json Container);
  bool close();
  /// Puts \p Value where the parser is, and returns its place.
  Json &place(Json Value);

  DeepValues Deep;
  Json Root;
  /// The lists and objects that enclose the next value, from the outermost on.
  std::vector<Json *> Enclosing;
  /// Name of the next member, if the innermost container is an object.
  std::string Key;
  /// Number of enclosing containers that are left out.
  std::size_t LeftOutDepth = 0;
  std::string ErrorText;
};

} // namespace cicadawind::internal

#endif
