#include <fuchsiactl/TextTable.h>

#include <algorithm>

namespace Fuchsiastep::ControlTool {

static std::size_t columnsOf(const std::string &text)
{
    // Bytes that continue a UTF-8 character take no column.
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char byte) { return (byte & 0xc0) != 0x80; }));
}

/// Control characters from an answer, such as escape sequences in a comment, must not reach the terminal.
static std::string printable(std::string cell)
{
    std::replace_if(
        cell.begin(), cell.end(), [](char character) { return static_cast<unsigned char>(character) < 0x20 || character == 0x7f; }, ' ');
    return cell.empty() ? "-" : cell;
}

TextTable::TextTable(Row headings)
{
    add(std::move(headings));
}

void TextTable::add(Row row)
{
    std::transform(row.begin(), row.end(), row.begin(), printable);
    m_rows.push_back(std::move(row));
}

std::string TextTable::toText() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const Row &row : m_rows) {
        for (std::size_t column = 0; column < row.size() && column < widths.size(); ++column) {
            widths[column] = std::max(widths[column], columnsOf(row[column]));
        }
    }
    std::string text;
    for (const Row &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            text += row[column];
            if (column + 1 < row.size()) {
                text.append(widths[column] - columnsOf(row[column]) + 2, ' ');
            }
        }
        text += '\n';
    }
    return text;
}

} // namespace Fuchsiastep::ControlTool
