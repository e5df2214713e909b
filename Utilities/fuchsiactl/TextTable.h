#pragma once

#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// Rows of text in aligned columns.
class TextTable
{
public:
    using Row = std::vector<std::string>;

    explicit TextTable(Row headings);

    void add(Row row);
    /// One line for the headings and each row; an empty cell is shown as "-".
    std::string toText() const;

private:
    std::vector<Row> m_rows;
};

} // namespace Fuchsiastep::ControlTool
