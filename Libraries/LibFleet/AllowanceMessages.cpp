#include <LibFleet/AllowanceMessages.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>
#include <LibWire/LibWire.h>

namespace Fuchsiastep {

template<typename Item>
static std::string encodeItems(const std::vector<Item> &items, void (*put)(MsgpackWriter &, const Item &))
{
    if (items.empty()) {
        return {};
    }
    MsgpackWriter writer;
    writer.beginArray(items.size());
    for (const Item &item : items) {
        put(writer, item);
    }
    return writer.take();
}

template<typename Item>
static Result<std::vector<Item>> tryDecodeItems(std::string_view bytes, Item (*read)(MsgpackReader &))
{
    std::vector<Item> items;
    const bool isValid = bytes.empty() || readMsgpack(bytes, MaximumFrameBytes, [&](MsgpackReader &reader) {
        while (reader.hasMore()) {
            items.push_back(reader.takeNested(read));
        }
    });
    if (!isValid) {
        return Error {ErrorCode::FrameMalformed, "allowances"};
    }
    return items;
}

static void putDemand(MsgpackWriter &writer, const AllowanceDemand &demand)
{
    writer.beginArray(4);
    writer.put(std::string_view(demand.workspace));
    writer.put(demand.demandPerKilosecond);
    writer.put(demand.wanted);
    writer.put(demand.returned);
}

static void putGrant(MsgpackWriter &writer, const AllowanceGrant &grant)
{
    writer.beginArray(4);
    writer.put(std::string_view(grant.workspace));
    writer.put(grant.tokens);
    writer.put(grant.exhaustedForMs);
    writer.put(grant.pressurePermille);
}

static void putLoan(MsgpackWriter &writer, const AllowanceLoan &loan)
{
    writer.beginArray(2);
    writer.put(std::string_view(loan.workspace));
    writer.put(loan.tokens);
}

static AllowanceDemand readDemand(MsgpackReader &reader)
{
    AllowanceDemand demand;
    demand.workspace = reader.takeString();
    demand.demandPerKilosecond = reader.takeUnsigned();
    demand.wanted = reader.takeUnsigned();
    demand.returned = reader.takeUnsigned();
    return demand;
}

static AllowanceGrant readGrant(MsgpackReader &reader)
{
    AllowanceGrant grant;
    grant.workspace = reader.takeString();
    grant.tokens = reader.takeUnsigned();
    grant.exhaustedForMs = reader.takeUnsigned();
    grant.pressurePermille = reader.takeUnsigned();
    return grant;
}

static AllowanceLoan readLoan(MsgpackReader &reader)
{
    AllowanceLoan loan;
    loan.workspace = reader.takeString();
    loan.tokens = reader.takeUnsigned();
    return loan;
}

std::string encodeAllowances(const std::vector<AllowanceDemand> &demands)
{
    return encodeItems(demands, putDemand);
}

std::string encodeAllowances(const std::vector<AllowanceGrant> &grants)
{
    return encodeItems(grants, putGrant);
}

std::string encodeAllowances(const std::vector<AllowanceLoan> &loans)
{
    return encodeItems(loans, putLoan);
}

Result<std::vector<AllowanceDemand>> tryDecodeAllowanceDemands(std::string_view bytes)
{
    return tryDecodeItems(bytes, readDemand);
}

Result<std::vector<AllowanceGrant>> tryDecodeAllowanceGrants(std::string_view bytes)
{
    return tryDecodeItems(bytes, readGrant);
}

Result<std::vector<AllowanceLoan>> tryDecodeAllowanceLoans(std::string_view bytes)
{
    return tryDecodeItems(bytes, readLoan);
}

} // namespace Fuchsiastep
