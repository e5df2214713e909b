#pragma once

// Included by FrameCodec.cpp only: the msgpack headers are slow to compile.

#include <LibWire/Frame.h>
#include <LibWire/FrameType.h>

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// Numbers in the array of a load report.
constexpr std::uint32_t LoadReportFields = 7;

/// Appends the fields of frames to one msgpack array.
class FrameWriter
{
public:
    explicit FrameWriter(msgpack::sbuffer &buffer) : m_packer(buffer)
    { }

    void begin(FrameType type)
    {
        for (const FrameTypeInfo &info : frameTypeTable()) {
            if (info.type == type) {
                m_packer.pack_array(info.fieldCount);
            }
        }
        put(static_cast<std::uint64_t>(type));
    }
    void put(std::uint64_t value)
    {
        m_packer.pack_uint64(value);
    }
    void put(std::uint32_t value)
    {
        m_packer.pack_uint32(value);
    }
    void put(bool value)
    {
        value ? m_packer.pack_true() : m_packer.pack_false();
    }
    void put(const std::string &value)
    {
        m_packer.pack_bin(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }
    void put(const HeaderList &headers)
    {
        m_packer.pack_map(static_cast<std::uint32_t>(headers.size()));
        for (const auto &[name, value] : headers) {
            put(name);
            put(value);
        }
    }
    void put(const Digest &digest)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(digest.lanes.size()));
        for (const std::uint64_t lane : digest.lanes) {
            put(lane);
        }
    }
    void put(const LoadReport &load)
    {
        m_packer.pack_array(LoadReportFields);
        put(load.slots);
        put(load.slotsInUse);
        put(load.queued);
        put(load.reportedPermille);
        put(load.serviceMs);
        put(load.failurePermille);
        put(load.transferMs);
    }

    void write(const HelloFrame &frame)
    {
        begin(FrameType::Hello);
        put(frame.protocol);
        put(frame.proxyId);
        put(frame.incarnation);
        put(frame.dataCentre);
    }
    void write(const RequestFrame &frame)
    {
        begin(FrameType::Request);
        put(frame.requestId);
        put(frame.service);
        put(frame.upstreamId);
        put(frame.caller);
        put(frame.method);
        put(frame.path);
        put(frame.headers);
        put(frame.key);
        put(frame.isRepeatable);
        put(frame.timeLeftMs);
        put(frame.isIsolated);
        put(frame.body);
        put(frame.selector);
        put(frame.targetLeftMs);
        put(frame.maximumWaitMs);
        put(frame.sentAtMs);
        put(frame.traceId);
        put(frame.workspace);
        put(frame.authorizedForMs);
    }
    void write(const AnswerFrame &frame)
    {
        begin(FrameType::Answer);
        put(frame.requestId);
        put(static_cast<std::uint32_t>(frame.outcome));
        put(static_cast<std::uint32_t>(frame.code));
        put(frame.detail);
        put(static_cast<std::uint32_t>(frame.status));
        put(frame.headers);
        put(frame.load);
        put(frame.bodyLength);
        put(frame.body);
        put(frame.crashId);
    }
    void write(const AnswerPartFrame &frame)
    {
        begin(FrameType::AnswerPart);
        put(frame.requestId);
        put(frame.offset);
        put(frame.body);
        put(frame.isLast);
    }
    void write(const CancelFrame &frame)
    {
        begin(FrameType::Cancel);
        put(frame.requestId);
    }
    void write(const AnswerPartAckFrame &frame)
    {
        begin(FrameType::AnswerPartAck);
        put(frame.requestId);
        put(frame.end);
    }
    void write(const ConfigurationPushFrame &frame)
    {
        begin(FrameType::ConfigurationPush);
        put(frame.baseVersion);
        put(frame.targetVersion);
        put(frame.baseDigest);
        put(frame.targetDigest);
        put(frame.delta);
        put(frame.rangeBegin);
        put(frame.rangeEnd);
    }
    void write(const ConfigurationAckFrame &frame)
    {
        begin(FrameType::ConfigurationAck);
        put(frame.version);
        put(frame.isHeld);
    }
    void write(const ConfigurationPullFrame &frame)
    {
        begin(FrameType::ConfigurationPull);
        put(frame.versionHeld);
        put(frame.digestHeld);
    }
    void write(const ConfigurationSnapshotFrame &frame)
    {
        begin(FrameType::ConfigurationSnapshot);
        put(frame.version);
        put(frame.digest);
        put(frame.content);
    }
    void write(const SnapshotDeferredFrame &frame)
    {
        begin(FrameType::SnapshotDeferred);
        put(frame.retryAfterMs);
    }
    void write(const VersionNudgeFrame &frame)
    {
        begin(FrameType::VersionNudge);
        put(frame.version);
    }
    void write(const MembershipSyncFrame &frame)
    {
        begin(FrameType::MembershipSync);
        put(frame.records);
        put(frame.wantsAnswer);
    }
    void write(const CrashSuspectsFrame &frame)
    {
        begin(FrameType::CrashSuspects);
        put(frame.entries);
        put(frame.revision);
    }
    void write(const CrashSuspectsQueryFrame & /*frame*/)
    {
        begin(FrameType::CrashSuspectsQuery);
    }
    void write(const CrashSuspectsAckFrame &frame)
    {
        begin(FrameType::CrashSuspectsAck);
        put(frame.revision);
    }
    void write(const FleetReportFrame &frame)
    {
        begin(FrameType::FleetReport);
        put(frame.sequence);
        put(frame.isBetweenDataCentres);
        put(frame.sections);
    }
    void write(const FleetReplyFrame &frame)
    {
        begin(FrameType::FleetReply);
        put(frame.sequence);
        put(frame.sections);
    }

private:
    msgpack::packer<msgpack::sbuffer> m_packer;
};

} // namespace Fuchsiastep
