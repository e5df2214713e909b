#pragma once

#include <LibCore/JsonValue.h>

#include <string>
#include <vector>

namespace Fuchsiastep {

/// The result of an experiment: named values with units, in the order in which they were added.
class Report
{
public:
    void add(std::string measure, double value, std::string unit);

    /// [{"measure","value","unit"}]
    JsonValue toJson() const;
    std::string toText() const;

private:
    struct Row
    {
        std::string measure;
        double value;
        std::string unit;
    };
    std::vector<Row> m_rows;
};

} // namespace Fuchsiastep
