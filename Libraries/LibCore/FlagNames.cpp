#include <LibCore/FlagNames.h>

#include <string_view>

namespace Fuchsiastep {

void normalizeFlagNames(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--") {
            return;
        }
        if (!argument.starts_with("--")) {
            continue;
        }
        for (char *character = argv[i] + 2; *character != '\0' && *character != '='; ++character) {
            if (*character == '-') {
                *character = '_';
            }
        }
    }
}

} // namespace Fuchsiastep
