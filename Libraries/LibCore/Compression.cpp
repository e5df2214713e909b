#include <LibCore/Compression.h>

#include <gio/gio.h>

#include <array>
#include <optional>

namespace Fuchsiastep {

/// The first byte of the result says how the rest is stored.
static constexpr char StoredMark = 's';
static constexpr char DeflatedMark = 'd';
/// The fastest level. Declarations repeat their names and rules, so that higher levels gain little.
static constexpr int DeflateLevel = 1;
static constexpr std::size_t ChunkBytes = 16 * 1024;

/// Runs \a input through \a converter. Nothing where it fails or the output is longer than \a maximumBytes.
static std::optional<std::string> convert(GConverter *converter, std::string_view input, std::size_t maximumBytes)
{
    std::string output;
    std::array<char, ChunkBytes> chunk; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the converter.
    GConverterResult result = G_CONVERTER_CONVERTED;
    while (result != G_CONVERTER_FINISHED) {
        gsize taken = 0;
        gsize written = 0;
        result = g_converter_convert(
            converter, input.data(), input.size(), chunk.data(), chunk.size(), G_CONVERTER_INPUT_AT_END, &taken, &written, nullptr);
        if (result == G_CONVERTER_ERROR || output.size() + written > maximumBytes) {
            return std::nullopt;
        }
        input.remove_prefix(taken);
        output.append(chunk.data(), written);
    }
    return output;
}

std::string compress(std::string_view bytes)
{
    g_autoptr(GZlibCompressor) compressor = g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, DeflateLevel);
    const std::optional<std::string> deflated = convert(G_CONVERTER(compressor), bytes, bytes.size());
    if (deflated) {
        return DeflatedMark + *deflated;
    }
    return StoredMark + std::string(bytes);
}

Result<std::string> tryDecompress(std::string_view bytes, std::size_t maximumBytes)
{
    const Error error {ErrorCode::FrameMalformed, "compressed content"};
    if (bytes.empty() || bytes.size() > maximumBytes + 1) {
        return error;
    }
    const std::string_view content = bytes.substr(1);
    if (bytes.front() == StoredMark) {
        return std::string(content);
    }
    if (bytes.front() != DeflatedMark) {
        return error;
    }
    g_autoptr(GZlibDecompressor) decompressor = g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
    std::optional<std::string> inflated = convert(G_CONVERTER(decompressor), content, maximumBytes);
    return inflated ? Result<std::string>(std::move(*inflated)) : Result<std::string>(error);
}

} // namespace Fuchsiastep
