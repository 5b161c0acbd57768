#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pollenway {

/// Writes metrics in the text exposition format: for each metric, `# HELP` and
/// `# TYPE` lines followed by its samples.
class MetricsWriter
{
public:
  using Labels = std::vector<std::pair<std::string_view, std::string>>;

  /// Begins a metric; `aType` is "counter", "gauge" or "histogram".
  void Begin(std::string_view aName,
             std::string_view aType,
             std::string_view aHelp);
  /// Adds a sample to the current metric; `aSuffix` is appended to its name.
  void Sample(const Labels& aLabels,
              double aValue,
              std::string_view aSuffix = {});
  void Sample(const Labels& aLabels,
              uint64_t aValue,
              std::string_view aSuffix = {});

  const std::string& Text() const { return mText; }

private:
  void SampleText(const Labels& aLabels,
                  std::string_view aValue,
                  std::string_view aSuffix);

  std::string mName;
  std::string mText;
};

/// Returns the shortest decimal text that parses to `aValue`.
std::string NumberText(double aValue);

} // namespace pollenway
