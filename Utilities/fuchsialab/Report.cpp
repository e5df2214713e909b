#include "Report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace Fuchsiastep {

void Report::add(std::string measure, double value, std::string unit)
{
    m_rows.push_back({std::move(measure), value, std::move(unit)});
}

JsonValue Report::toJson() const
{
    JsonValue::Array rows;
    for (const Row &row : m_rows) {
        rows.push_back(JsonValue::Object {{"measure", row.measure}, {"value", row.value}, {"unit", row.unit}});
    }
    return rows;
}

std::string Report::toText() const
{
    constexpr int ValueWidth = 14;
    std::size_t width = 0;
    for (const Row &row : m_rows) {
        width = std::max(width, row.measure.size());
    }
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    for (const Row &row : m_rows) {
        text << std::left << std::setw(static_cast<int>(width)) << row.measure << std::right << std::setw(ValueWidth) << row.value << ' '
             << row.unit << '\n';
    }
    return text.str();
}

} // namespace Fuchsiastep
