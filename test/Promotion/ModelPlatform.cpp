#include "Promotion/ModelPlatform.h"

#include <algorithm>

namespace cicadawind::test {

static LogPosition positionAt(const std::string &Log, std::size_t I) {
  return {.WrittenIn = static_cast<Term>(Log[I]), .Index = I + 1};
}

static std::size_t commonLength(const std::string &A, const std::string &B) {
  return static_cast<std::size_t>(
      std::mismatch(A.begin(), A.end(), B.begin(), B.end()).first - A.begin());
}

LogPosition ModelPlatform::Target::received() const {
  if (Log.empty())
    return {.WrittenIn = 1, .Index = 0};
  return positionAt(Log, Log.size() - 1);
}

bool ModelPlatform::promote(unsigned Id, std::uint64_t Token) {
  if (Token < HighestToken || !Targets[Id].Runs)
    return false;
  HighestToken = Token;
  if (leads(Id))
    return true;
  Source = Id;
  HasPrimary = true;
  Targets[Id].Follows = ++Current;
  findReturned(Targets[Id].Log);
  supersede(Targets[Id].Log);
  Acknowledged.resize(commonLength(Acknowledged, Targets[Id].Log));
  return true;
}

std::string ModelPlatform::lackedBy(unsigned Id) const {
  bool HasAll =
      commonLength(Acknowledged, Targets[Id].Log) == Acknowledged.size();
  return HasAll ? ""
                : toString(positionAt(Acknowledged, Acknowledged.size() - 1));
}

void ModelPlatform::supersede(const std::string &NewLog) {
  for (const Target &Each : Targets)
    for (std::size_t I = commonLength(Each.Log, NewLog); I < Each.Log.size();
         ++I) {
      LogPosition Entry = positionAt(Each.Log, I);
      auto At = std::lower_bound(Superseded.begin(), Superseded.end(), Entry);
      if (At == Superseded.end() || *At != Entry)
        Superseded.insert(At, Entry);
    }
}

void ModelPlatform::findReturned(const std::string &NewLog) {
  for (std::size_t I = 0; I < NewLog.size() && Returned.empty(); ++I)
    if (std::binary_search(Superseded.begin(), Superseded.end(),
                           positionAt(NewLog, I)))
      Returned = toString(positionAt(NewLog, I));
}

void ModelPlatform::commit() {
  Targets[Source].Log.push_back(static_cast<char>(Current));
}

void ModelPlatform::follow(unsigned Id) {
  Target &Each = Targets[Id];
  Each.Log.resize(commonLength(Each.Log, Targets[Source].Log));
  Each.Follows = Current;
}

void ModelPlatform::copy(unsigned Id) {
  Targets[Id].Log = Targets[Source].Log;
  Targets[Id].Follows = Current;
  if (HasPrimary)
    Acknowledged = Targets[Source].Log;
}

void ModelPlatform::appendKey(std::string &Out) const {
  for (const Target &Each : Targets) {
    Out += static_cast<char>(Each.Runs | Each.IsLeaving << 1);
    Out += static_cast<char>(Each.Follows);
    Out += Each.Log;
    Out += '\0';
  }
  Out += Acknowledged;
  Out += '\0';
  Out += static_cast<char>(Source | HasPrimary << 2);
  Out += static_cast<char>(Current);
  Out += static_cast<char>(HighestToken);
  for (const LogPosition &Each : Superseded) {
    Out += static_cast<char>(Each.WrittenIn);
    Out += static_cast<char>(Each.Index);
  }
  Out += '\0';
}

} // namespace cicadawind::test
