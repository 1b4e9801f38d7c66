#include "adapters/metrics/PrometheusText.h"

#include <array>
#include <charconv>
#include <cmath>

namespace teaselfold::Internal {

namespace {

    void appendLabelValue(std::string& text, const std::string& value)
    {
        for (const char character : value) {
            if (character == '\n') {
                text += "\\n";
                continue;
            }
            if (character == '"' || character == '\\')
                text += '\\';
            text += character;
        }
    }

}

void appendMetricHeader(std::string& text, const std::string& name, std::string_view type, std::string_view helpText)
{
    text.append("# HELP ").append(name).append(" ").append(helpText).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

std::string formatSampleValue(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 64> digits {};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    return { digits.data(), result.ptr };
}

void appendSample(std::string& text, const std::string& name, const std::vector<LogField>& labels, double value)
{
    text += name;
    char separator = '{';
    for (const LogField& label : labels) {
        text += separator;
        separator = ',';
        text.append(label.key).append("=\"");
        appendLabelValue(text, label.value);
        text += '"';
    }
    if (!labels.empty())
        text += '}';
    text.append(" ").append(formatSampleValue(value)).append("\n");
}

}
