#include "Core/ErrorList.h"
#include "ReleaseNotes/NoteSchema.h"
#include "ReleaseNotes/ReleaseNote.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace cicadawind {
namespace internal {

static constexpr std::array<std::pair<std::string_view, NoteAction>, 3>
    ActionNames{{{"add", NoteAction::Add},
                 {"change", NoteAction::Change},
                 {"withdraw", NoteAction::Withdraw}}};
static constexpr std::array<std::pair<std::string_view, NoteKind>, 4> KindNames{
    {{"database", NoteKind::Database},
     {"target", NoteKind::Target},
     {"vm", NoteKind::Vm},
     {"limits", NoteKind::Limits}}};

template <class Rows>
static auto lookUp(const Rows &Table, std::string_view Name)
    -> std::optional<typename Rows::value_type::second_type> {
  for (const auto &[RowName, Value] : Table)
    if (RowName == Name)
      return Value;
  return std::nullopt;
}

static std::size_t lineOf(const toml::node &Node) {
  return Node.source().begin.line;
}

static std::optional<NoteValue>
readValue(const FieldRule &Rule, const toml::node &Node, ErrorList &Errors) {
  std::string Key = "key '" + std::string(Rule.Name) + "' ";
  if (Rule.Type == FieldType::Text) {
    std::optional<std::string> Text = Node.value_exact<std::string>();
    if (Text && !Text->empty())
      return *Text;
    Errors.add(lineOf(Node), Key + "must be non-empty text");
    return std::nullopt;
  }
  if (Rule.Type == FieldType::Flag) {
    if (std::optional<bool> Flag = Node.value_exact<bool>())
      return *Flag;
    Errors.add(lineOf(Node), Key + "must be true or false");
    return std::nullopt;
  }
  std::optional<std::int64_t> Number = Node.value_exact<std::int64_t>();
  if (Number && *Number >= Rule.Min && *Number <= Rule.Max)
    return *Number;
  Errors.add(lineOf(Node), Key + "must be a whole number from " +
                               std::to_string(Rule.Min) + " to " +
                               std::to_string(Rule.Max));
  return std::nullopt;
}

static NoteEntry readEntry(NoteAction Action, NoteKind Kind,
                           const toml::table &Table, ErrorList &Errors) {
  NoteEntry Entry{
      .Action = Action, .Kind = Kind, .Fields = {}, .Line = lineOf(Table)};
  const std::vector<FieldRule> &Rules = fieldRules(Kind);
  for (const auto &[Key, Node] : Table) {
    auto Matches = [&Name = Key](const FieldRule &Rule) {
      return Rule.Name == Name.str();
    };
    auto Rule = std::find_if(Rules.begin(), Rules.end(), Matches);
    if (Rule == Rules.end()) {
      Errors.add(lineOf(Node),
                 "key '" + std::string(Key.str()) + "' is not known here");
      continue;
    }
    if (Action == NoteAction::Withdraw && !Rule->Identity) {
      Errors.add(lineOf(Node), "key '" + std::string(Key.str()) +
                                   "' has no meaning when withdrawing");
      continue;
    }
    if (std::optional<NoteValue> Value = readValue(*Rule, Node, Errors))
      Entry.Fields[std::string(Key.str())] = *Value;
  }
  for (const FieldRule &Rule : Rules) {
    bool Required =
        Rule.Identity || (Rule.RequiredToAdd && Action == NoteAction::Add);
    if (Required && !Table.contains(Rule.Name))
      Errors.add(Entry.Line, "key '" + std::string(Rule.Name) + "' is missing");
  }
  return Entry;
}

static void readKind(NoteAction Action, std::string_view KindName,
                     const toml::node &Node, ReleaseNote &Note,
                     ErrorList &Errors) {
  std::optional<NoteKind> Kind = lookUp(KindNames, KindName);
  if (!Kind) {
    Errors.add(lineOf(Node),
               "key '" + std::string(KindName) +
                   "' is not one of database, target, vm, limits");
    return;
  }
  bool Allowed = true;
  if (*Kind == NoteKind::Vm)
    Allowed = Action == NoteAction::Withdraw || Action == NoteAction::Add;
  if (*Kind == NoteKind::Limits)
    Allowed = Action == NoteAction::Change;
  if (!Allowed) {
    Errors.add(lineOf(Node),
               "'" + std::string(KindName) + "' does not allow this action");
    return;
  }
  const toml::array *Rows = Node.as_array();
  if (!Rows) {
    Errors.add(lineOf(Node), "'" + std::string(KindName) +
                                 "' must be written as [[action." +
                                 std::string(KindName) + "]]");
    return;
  }
  for (const toml::node &Row : *Rows) {
    if (const toml::table *Table = Row.as_table())
      Note.Entries.push_back(readEntry(Action, *Kind, *Table, Errors));
    else
      Errors.add(lineOf(Row), "an entry must be a table");
  }
}

static void readTop(const toml::table &Table, ReleaseNote &Note,
                    ErrorList &Errors) {
  for (const auto &[Key, Node] : Table) {
    if (Key == "author") {
      Note.Author = Node.value_or(std::string());
      continue;
    }
    if (Key == "base") {
      std::optional<std::int64_t> Base = Node.value_exact<std::int64_t>();
      if (Base && *Base >= 0)
        Note.Base = static_cast<std::uint64_t>(*Base);
      else
        Errors.add(lineOf(Node), "key 'base' must be a note's number");
      continue;
    }
    std::optional<NoteAction> Action = lookUp(ActionNames, Key.str());
    const toml::table *Kinds = Node.as_table();
    if (!Action || !Kinds) {
      Errors.add(lineOf(Node),
                 "key '" + std::string(Key.str()) +
                     "' is not one of author, base, add, change, withdraw");
      continue;
    }
    for (const auto &[KindKey, KindNode] : *Kinds)
      readKind(*Action, KindKey.str(), KindNode, Note, Errors);
  }
}

} // namespace internal

Result<ReleaseNote> ReleaseNote::parse(const std::string &Text,
                                       const std::string &Origin) {
  ErrorList Errors(Origin);
  if (Text.size() > MaxBytes) {
    Errors.add(1, "the note is longer than " + std::to_string(MaxBytes) +
                      " bytes");
    return Errors.error();
  }
  ReleaseNote Note;
  try {
    toml::table Table = toml::parse(Text);
    internal::readTop(Table, Note, Errors);
  } catch (const toml::parse_error &E) {
    Errors.add(E.source().begin.line, std::string(E.description()));
    return Errors.error();
  }
  if (Note.Author.empty())
    Errors.add(1, "key 'author' is missing");
  if (Note.Entries.empty() && Errors.empty())
    Errors.add(1, "the note adds, changes and withdraws nothing");
  if (!Errors.empty())
    return Errors.error();
  auto ByLine = [](const NoteEntry &A, const NoteEntry &B) {
    return A.Line < B.Line;
  };
  std::stable_sort(Note.Entries.begin(), Note.Entries.end(), ByLine);
  return Note;
}

} // namespace cicadawind
