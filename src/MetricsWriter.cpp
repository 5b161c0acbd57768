#include "MetricsWriter.h"

#include <charconv>
#include <cmath>

namespace pollenway {

namespace {

void AppendEscaped(std::string& aOut, std::string_view aText)
{
  for (const char it : aText) {
    if (it == '\n') {
      aOut += "\\n";
      continue;
    }
    if (it == '\\' || it == '"') {
      aOut += '\\';
    }
    aOut += it;
  }
}

} // namespace

std::string NumberText(double aValue)
{
  // Bounds such as 0.0001 are written without an exponent for readability.
  const double size = std::abs(aValue);
  const bool isFixed = size == 0 || (size >= 1e-6 && size < 1e15);
  char buf[40];
  const auto end = std::to_chars(buf,
                                 buf + sizeof buf,
                                 aValue,
                                 isFixed ? std::chars_format::fixed
                                         : std::chars_format::scientific)
                     .ptr;
  return std::string(buf, end);
}

void MetricsWriter::Begin(std::string_view aName,
                          std::string_view aType,
                          std::string_view aHelp)
{
  mName = aName;
  mText += "# HELP " + mName + " ";
  mText += aHelp;
  mText += "\n# TYPE " + mName + " ";
  mText += aType;
  mText += '\n';
}

void MetricsWriter::Sample(const Labels& aLabels,
                           double aValue,
                           std::string_view aSuffix)
{
  SampleText(aLabels, NumberText(aValue), aSuffix);
}

void MetricsWriter::Sample(const Labels& aLabels,
                           uint64_t aValue,
                           std::string_view aSuffix)
{
  SampleText(aLabels, std::to_string(aValue), aSuffix);
}

void MetricsWriter::SampleText(const Labels& aLabels,
                               std::string_view aValue,
                               std::string_view aSuffix)
{
  mText += mName;
  mText += aSuffix;
  char separator = '{';
  for (const auto& [name, value] : aLabels) {
    mText += separator;
    mText += name;
    mText += "=\"";
    AppendEscaped(mText, value);
    mText += '"';
    separator = ',';
  }
  mText += aLabels.empty() ? " " : "} ";
  mText += aValue;
  mText += '\n';
}

} // namespace pollenway
