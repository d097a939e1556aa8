#ifndef CICADAWIND_BENCH_BENCHREPORT_H
#define CICADAWIND_BENCH_BENCHREPORT_H

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cicadawind::bench {

/// One printed result: a policy's figures and what they are measured against.
struct BenchRow {
  std::string Bench;
  std::string Case;
  std::string Policy;
  std::uint64_t Seed = 0;
  std::vector<std::pair<std::string, double>> Figures;
  /// Bound from the stated target, "met", "missed" or empty for a baseline.
  std::string Bound;
  std::string Verdict;
};

/// Prints \p Row as one JSON line.
inline void print(const BenchRow &Row) {
  std::cout << "{\"bench\":\"" << Row.Bench << "\",\"case\":\"" << Row.Case
            << "\",\"policy\":\"" << Row.Policy << "\",\"seed\":" << Row.Seed
            << ",\"figures\":{";
  for (std::size_t I = 0; I < Row.Figures.size(); ++I)
    std::cout << (I ? "," : "") << "\"" << Row.Figures[I].first
              << "\":" << Row.Figures[I].second;
  std::cout << "},\"bound\":\"" << Row.Bound << "\",\"verdict\":\""
            << Row.Verdict << "\"}" << std::endl;
}

/// Value below which the share \p Q of \p Values lies; 0 for none.
inline double quantile(std::vector<double> Values, double Q) {
  if (Values.empty())
    return 0;
  auto Last = static_cast<double>(Values.size() - 1);
  auto Index = static_cast<std::size_t>(std::lround(Q * Last));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return Values[Index];
}

inline std::string metIf(bool Met) { return Met ? "met" : "missed"; }

} // namespace cicadawind::bench

#endif
