#include "ReleaseNotes/NoteDocument.h"

#include "Documents/JsonParsing.h"

#include <nlohmann/json.hpp>

namespace cicadawind {

std::string encodeDocument(const NoteDocument &Document) {
  nlohmann::json Json{{"number", Document.Number},
                      {"submission", Document.Submission},
                      {"note", Document.Text}};
  return Json.dump();
}

Result<NoteDocument> decodeDocument(const std::string &Text) {
  try {
    nlohmann::json Json = parseJson(Text);
    return NoteDocument{.Number = Json.at("number").get<std::uint64_t>(),
                        .Submission = Json.at("submission").get<std::string>(),
                        .Text = Json.at("note").get<std::string>()};
  } catch (const nlohmann::json::exception &E) {
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = std::string("malformed note: ") + E.what()};
  }
}

} // namespace cicadawind
