#include <LibConfiguration/Labels.h>

#include <algorithm>

namespace Fuchsiastep {

bool matchesLabels(const Labels &wanted, const Labels &labels)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](const auto &label) {
        const auto found = labels.find(label.first);
        return found != labels.end() && found->second == label.second;
    });
}

} // namespace Fuchsiastep
