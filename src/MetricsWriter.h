#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pollenway {

/// Writes metrics as text exposition: `# HELP` and `# TYPE` lines, followed by
/// the samples of each metric.
class MetricsWriter
{
public:
  using Labels = std::vector<std::pair<std::string_view, std::string>>;

  /// Starts a metric; `aType` is "counter", "gauge" or "histogram".
  void Begin(std::string_view aName,
             std::string_view aType,
             std::string_view aHelp);
  /// A sample of the metric; `aSuffix` is appended to its name.
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

/// Shortest decimal text that reads back as `aValue`.
std::string NumberText(double aValue);

} // namespace pollenway
