#pragma once

namespace Fuchsiastep {

// Header fields that callers and upstreams see. docs/interfaces.md describes them.

/// Name of the caller, required on every call.
constexpr const char *CallerHeader = "fuchsiastep-caller";
/// Idempotency key of a request that runs at most once.
constexpr const char *KeyHeader = "idempotency-key";
/// Key of the caller's workspace. Never passed on.
constexpr const char *WorkspaceKeyHeader = "fuchsiastep-key";
/// Name of the caller's workspace, towards the upstream.
constexpr const char *WorkspaceHeader = "fuchsiastep-workspace";
/// Time left in milliseconds, from the caller and towards the upstream.
constexpr const char *DeadlineHeader = "fuchsiastep-deadline-ms";
/// "answered", "not-run" or "unknown", on every answer to a caller.
constexpr const char *OutcomeHeader = "fuchsiastep-outcome";
/// Number of the result code, 0 for an answered request.
constexpr const char *CodeHeader = "fuchsiastep-code";
/// Number of tries that the caller side made.
constexpr const char *TriesHeader = "fuchsiastep-tries";
/// Set by an upstream that refuses a request before running it.
constexpr const char *RefusedHeader = "fuchsiastep-refused";
/// Priority of the request, from the rules of its selector.
constexpr const char *PriorityHeader = "fuchsiastep-priority";

} // namespace Fuchsiastep
