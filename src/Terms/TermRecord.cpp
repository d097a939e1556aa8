#include "Terms/TermRecord.h"

#include "Documents/JsonParsing.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cicadawind {

PositionOutcome TermRecord::outcomeOf(LogPosition Position) const {
  if (Position.WrittenIn > Current)
    return PositionOutcome::Unknown;
  if (Position.WrittenIn == Current)
    return PositionOutcome::Survives;
  bool Listed = false;
  for (const TermEnd &End : Ends) {
    if (End.Ended < Position.WrittenIn)
      continue;
    Listed = true;
    if (Position.Index > End.LastIndex)
      return PositionOutcome::Discarded;
  }
  // In phase Electing, the end of the last open term is not decided yet.
  if (!Listed || !isOpen())
    return PositionOutcome::Unknown;
  // An end that was dropped from the list may have discarded the position.
  bool Truncated =
      Ends.size() >= MaxEnds && Position.WrittenIn < Ends.front().Ended;
  return Truncated ? PositionOutcome::Unknown : PositionOutcome::Survives;
}

void TermRecord::addEnd(TermEnd End) {
  Ends.push_back(End);
  if (Ends.size() > MaxEnds)
    Ends.erase(Ends.begin());
}

std::string encodeTermRecord(const TermRecord &Record) {
  nlohmann::json Ends = nlohmann::json::array();
  for (const TermEnd &End : Record.Ends)
    Ends.push_back({{"term", End.Ended}, {"last_index", End.LastIndex}});
  nlohmann::json Json{{"term", Record.Current},
                      {"phase", Record.isOpen() ? "open" : "electing"},
                      {"primary", Record.Primary},
                      {"claim", Record.Claim},
                      {"members", Record.Members},
                      {"ends", std::move(Ends)}};
  return Json.dump();
}

Result<TermRecord> decodeTermRecord(const std::string &Text) {
  try {
    nlohmann::json Json = parseJson(Text);
    TermRecord Record;
    Json.at("term").get_to(Record.Current);
    Record.State = Json.at("phase") == "open" ? TermRecord::Phase::Open
                                              : TermRecord::Phase::Electing;
    Json.at("primary").get_to(Record.Primary);
    Json.at("claim").get_to(Record.Claim);
    Json.at("members").get_to(Record.Members);
    for (const nlohmann::json &End : Json.at("ends"))
      Record.Ends.push_back(
          {.Ended = End.at("term").get<Term>(),
           .LastIndex = End.at("last_index").get<LogIndex>()});
    return Record;
  } catch (const nlohmann::json::exception &E) {
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = std::string("malformed term record: ") + E.what()};
  }
}

} // namespace cicadawind
