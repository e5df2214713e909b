#pragma once

// The public header of LibCore: results, time, randomness, digests, logs, JSON and metrics.

#include <LibCore/Clock.h>
#include <LibCore/Compression.h>
#include <LibCore/Digest.h>
#include <LibCore/Error.h>
#include <LibCore/ErrorCode.h>
#include <LibCore/FlagNames.h>
#include <LibCore/JsonObjectReader.h>
#include <LibCore/JsonValue.h>
#include <LibCore/ListeningSocket.h>
#include <LibCore/LogEvent.h>
#include <LibCore/Logger.h>
#include <LibCore/MetricsRegistry.h>
#include <LibCore/ProcessUsage.h>
#include <LibCore/Random.h>
#include <LibCore/Result.h>
#include <LibCore/SocketAddress.h>
#include <LibCore/SocketSilence.h>
