#include <LibConfiguration/AuditLog.h>

#include <LibConfiguration/ChangeRow.h>
#include <LibConfiguration/RowKeys.h>

#include <charconv>
#include <optional>

namespace Fuchsiastep {

static std::optional<ConfigurationVersion> versionOfKey(const std::string &key)
{
    ConfigurationVersion version = 0;
    if (!key.starts_with(ChangeKeyPrefix)) {
        return std::nullopt;
    }
    const char *end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + ChangeKeyPrefix.size(), end, version);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(version) : std::nullopt;
}

ScanRows AuditLog::request(ConfigurationVersion version, std::uint32_t limit)
{
    return {std::string(ChangeKeyPrefix), changeKey(version), limit};
}

AuditLog AuditLog::decode(const std::vector<Row> &rows)
{
    AuditLog log;
    for (const Row &row : rows) {
        const auto version = versionOfKey(row.key);
        if (!version || row.revision == 0) {
            continue;
        }
        Result<ChangeRow> change = ChangeRow::tryDecode(row.value, *version);
        if (isError(change)) {
            log.unreadable.push_back(errorOf(change));
        } else {
            log.entries.push_back(std::move(valueOf(std::move(change)).audit));
        }
    }
    return log;
}

} // namespace Fuchsiastep
