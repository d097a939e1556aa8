#include "Cli/RequestExplanation.h"

#include "Documents/JsonParsing.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <optional>
#include <set>

namespace cicadawind {
namespace internal {

using Json = nlohmann::json;

/// Parses a time of the form "2026-01-31T12:00:00.123Z"; returns nothing if
/// \p Time has another form.
static std::optional<std::chrono::system_clock::time_point>
parseTime(const std::string &Time) {
  std::tm Parts{};
  const char *Rest = strptime(Time.c_str(), "%Y-%m-%dT%H:%M:%S", &Parts);
  if (!Rest || *Rest != '.')
    return std::nullopt;
  return std::chrono::system_clock::from_time_t(timegm(&Parts)) +
         Millis(std::strtoll(Rest + 1, nullptr, 10));
}

/// Returns the string at \p Key, or an empty string if there is none.
static std::string textOf(const Json &Fields, const char *Key) {
  auto It = Fields.find(Key);
  return It != Fields.end() && It->is_string() ? It->get<std::string>() : "";
}

static bool isRequestLine(const Json &Fields) {
  std::string Message = textOf(Fields, "message");
  return Message == "request served" || Message == "request not served";
}

/// Returns whether any of \p Lines has this message.
static bool hasMessage(const std::vector<Json> &Lines, const char *Message) {
  return std::any_of(Lines.begin(), Lines.end(), [&](const Json &Line) {
    return textOf(Line, "message") == Message;
  });
}

/// Returns whether \p Target was a primary that was in doubt or being replaced.
static bool wasInDoubt(const std::vector<Json> &Lines,
                       const std::string &Target) {
  return std::any_of(Lines.begin(), Lines.end(), [&](const Json &Line) {
    std::string Message = textOf(Line, "message");
    return (Message == "primary in doubt" &&
            textOf(Line, "target") == Target) ||
           (Message == "promotion begins" &&
            textOf(Line, "old_primary") == Target);
  });
}

/// Cause of a request's outcome, and what an operator can do.
struct Diagnosis {
  std::string Cause;
  std::string Advice;
};

/// Returns how long the VM of \p Request had been up, if \p Evidence says so.
static std::optional<Millis> uptimeOf(const Json &Request,
                                      const std::vector<Json> &Evidence) {
  std::optional<Millis> Out;
  for (const Json &Line : Evidence) {
    bool IsStart = textOf(Line, "message") == "serving" &&
                   textOf(Line, "vm") == textOf(Request, "vm");
    auto Start = parseTime(textOf(Line, "time"));
    auto End = parseTime(textOf(Request, "time"));
    if (IsStart && Start && End && *Start <= *End)
      Out = std::chrono::duration_cast<Millis>(*End - *Start);
  }
  return Out;
}

/// Returns whether \p Connections, such as "2 of 6", are fewer than allowed.
static bool isBelowShare(const std::string &Connections) {
  std::size_t Of = Connections.find(" of ");
  if (Of == std::string::npos)
    return false;
  return std::atoi(Connections.c_str()) <
         std::atoi(Connections.c_str() + Of + 4);
}

/// Diagnoses a request that its account's key or rate limit did not allow, or
/// returns nothing.
static std::optional<Diagnosis> diagnoseAccount(const Json &Request) {
  std::string Code = textOf(Request, "code");
  std::string Why = textOf(Request, "why");
  if (Code == "rate_limited")
    return Diagnosis{"account '" + textOf(Request, "account") +
                         "' was over its rate limit: " + Why,
                     "nothing if the caller asks for more than it may; "
                     "otherwise raise the account's limit"};
  if (Code == "unauthorized" && Why == "the API key was removed")
    return Diagnosis{"the configuration in force no longer lists its API key",
                     "give the caller another key of its account"};
  if (Code == "unauthorized")
    return Diagnosis{"the configuration in force does not list its API key",
                     "see 'configuration in force' below for the version and "
                     "its time"};
  if (Why.find("issues permits") != std::string::npos)
    return Diagnosis{"no VM issued permits of account '" +
                         textOf(Request, "account") + "' when it came",
                     "see 'issues permits of a partition' below; there is "
                     "none for half a second after most VMs of a failure "
                     "domain have started"};
  return std::nullopt;
}

/// Diagnoses a request that waited for a connection and never got one.
static Diagnosis diagnoseTimeout(const Json &Request,
                                 const std::vector<Json> &Evidence) {
  bool Promoting = hasMessage(Evidence, "promotion begins");
  if (textOf(Request, "why") == "no primary is known")
    return {"no primary was known when it came",
            Promoting ? "see the promotion below; it ends with 'primary proved'"
                      : "see whether targets of the group answer at all"};
  if (Promoting)
    return {"its group's primary was being replaced, or callers that had "
            "waited for that were served first",
            "see the promotion below; it ends with 'primary proved'"};
  bool Missing = hasMessage(Evidence, "connection not opened") ||
                 hasMessage(Evidence, "target is silent") ||
                 hasMessage(Evidence, "target gone");
  if (Missing)
    return {"fewer targets of its group took connections than usual",
            "see which targets the lines below name"};
  std::string Why = textOf(Request, "why");
  if (Why.find("is in slow start") != std::string::npos)
    return {"a target had just started or recovered: " + Why,
            "nothing if it ends within seconds; see 'slow start ends'"};
  std::string Connections = textOf(Request, "connections");
  std::optional<Millis> Uptime = uptimeOf(Request, Evidence);
  if (Uptime && isBelowShare(Connections))
    return {"this VM had been up for " + std::to_string(Uptime->count()) +
                " ms and had " + Connections +
                " connections to the group's targets",
            "nothing if it ends within seconds; a VM opens its connections "
            "one after the other"};
  return {
      "callers asked for more than the group's targets run at once",
      "compare requests_total{outcome=\"refused\"} of all VMs; add slots or "
      "targets if it lasts"};
}

/// Diagnoses the outcome of \p Request from its own line and the evidence.
static Diagnosis diagnose(const Json &Request,
                          const std::vector<Json> &Evidence) {
  std::string Code = textOf(Request, "code");
  std::string Tries = textOf(Request, "tries");
  bool PrimaryInDoubt = wasInDoubt(Evidence, textOf(Request, "target"));
  if (textOf(Request, "outcome") == "ok")
    return {Tries.empty() ? "it was served at once"
                          : "it was served after failed attempts: " + Tries,
            "nothing"};
  if (std::optional<Diagnosis> OfAccount = diagnoseAccount(Request))
    return *OfAccount;
  if (Code == "overloaded" && Tries.empty())
    return diagnoseTimeout(Request, Evidence);
  if (Code == "overloaded")
    return {"targets were too busy to take it: " + Tries,
            "if many VMs see this, the group's slots are all in use"};
  if (Code == "replica_behind")
    return {"replicas had not reached position " + textOf(Request, "at_least") +
                ": " + Tries,
            "see the replicas' lag; proof_age_ms says how old the demand was"};
  if (Code == "not_primary")
    return {"its target was no longer primary: " + Tries,
            hasMessage(Evidence, "primary steps down")
                ? "a planned hand-over; see 'primary proved' for its end"
                : "see the promotion below"};
  if (Code == "not_confirmed")
    return {PrimaryInDoubt
                ? "its write or commit had left for a primary that was "
                  "lost or in doubt"
                : textOf(Request, "why") +
                      " after its write or commit had left: " + Tries,
            "the write may be kept: 'successor chosen' tells the position that "
            "survived; the caller has to look before it repeats"};
  if (Code == "transaction_ended")
    return {PrimaryInDoubt
                ? "its transaction ended with the group's primary"
                : "its transaction was ended: " + textOf(Request, "why"),
            "nothing of it is kept; the caller may repeat it"};
  if (Code == "unknown_database")
    return {"the configuration in force lists no such database",
            "see 'configuration in force' below for the version and its time"};
  if (Code == "statement_failed" || Code == "connection_lost")
    return {"the connection was lost: " + textOf(Request, "why") +
                (Tries.empty() ? "" : " (" + Tries + ")"),
            "see what the lines below say of the target"};
  if (Code == "bad_request" || Code == "not_found")
    return {"the request itself was wrong: " + textOf(Request, "why"),
            "correct the caller"};
  return {"it ended with " + (Code.empty() ? "no code" : Code) + ": " +
              textOf(Request, "why"),
          "see the lines below"};
}

} // namespace internal

void RequestExplanation::addLine(const std::string &Line) {
  std::size_t Begin = Line.find('{');
  if (Begin == std::string::npos)
    return;
  internal::Json Fields = tryParseJson(std::string_view(Line).substr(Begin));
  if (!Fields.is_object())
    return;
  auto Time = internal::parseTime(internal::textOf(Fields, "time"));
  if (Time)
    Lines.push_back({.Time = *Time, .Fields = std::move(Fields)});
}

const RequestExplanation::LogLine *
RequestExplanation::find(const std::string &Id) const {
  const LogLine *Found = nullptr;
  // A caller may repeat a request with the same id; the last attempt counts.
  for (const LogLine &Line : Lines)
    if (internal::isRequestLine(Line.Fields) &&
        internal::textOf(Line.Fields, "id") == Id &&
        (!Found || Line.Time >= Found->Time))
      Found = &Line;
  return Found;
}

bool RequestExplanation::isRelevant(const LogLine &Line,
                                    const LogLine &Request) const {
  bool IsNear = Line.Time >= Request.Time - Opts.Before &&
                Line.Time <= Request.Time + Opts.After;
  if (!IsNear || internal::isRequestLine(Line.Fields))
    return false;
  static const std::set<std::string> VmMessages{"configuration in force",
                                                "serving",
                                                "leaving",
                                                "stopped",
                                                "store lost",
                                                "store regained",
                                                "settings read"};
  std::string Group = internal::textOf(Line.Fields, "group");
  bool SameVm = internal::textOf(Line.Fields, "vm") ==
                internal::textOf(Request.Fields, "vm");
  if (Group.empty())
    return SameVm &&
           VmMessages.count(internal::textOf(Line.Fields, "message")) != 0;
  bool IsPromotion = internal::textOf(Line.Fields, "component") == "promotion";
  return Group == internal::textOf(Request.Fields, "group") &&
         (SameVm || IsPromotion);
}

std::vector<nlohmann::json>
RequestExplanation::evidenceFor(const LogLine &Request) const {
  std::vector<const LogLine *> Near;
  for (const LogLine &Line : Lines)
    if (isRelevant(Line, Request))
      Near.push_back(&Line);
  auto DistanceOf = [&](const LogLine *Line) {
    return std::chrono::abs(Line->Time - Request.Time);
  };
  std::stable_sort(Near.begin(), Near.end(),
                   [&](const LogLine *A, const LogLine *B) {
                     return DistanceOf(A) < DistanceOf(B);
                   });
  Near.resize(std::min(Near.size(), Opts.MaxEvidence));
  std::stable_sort(
      Near.begin(), Near.end(),
      [](const LogLine *A, const LogLine *B) { return A->Time < B->Time; });
  std::vector<nlohmann::json> Out;
  Out.reserve(Near.size());
  for (const LogLine *Line : Near)
    Out.push_back(Line->Fields);
  return Out;
}

RequestExplanation::Result
RequestExplanation::explain(const std::string &Id) const {
  Result Out;
  const LogLine *Request = find(Id);
  for (const LogLine &Line : Lines)
    if (internal::textOf(Line.Fields, "message") == "request lines left out" &&
        internal::textOf(Line.Fields, "outcome") != "ok")
      Out.SuppressedLines += std::strtoull(
          internal::textOf(Line.Fields, "count").c_str(), nullptr, 10);
  if (!Request) {
    Out.Cause = "no line of these logs names it";
    Out.Advice = "give the logs of all VMs; of served requests one a second is "
                 "logged, of others up to a hundred";
    return Out;
  }
  Out.Request = Request->Fields;
  Out.Evidence = evidenceFor(*Request);
  internal::Diagnosis Found = internal::diagnose(Request->Fields, Out.Evidence);
  Out.Cause = std::move(Found.Cause);
  Out.Advice = std::move(Found.Advice);
  return Out;
}

} // namespace cicadawind
