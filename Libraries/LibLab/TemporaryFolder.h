#pragma once

#include <string>

namespace Fuchsiastep {

/// A folder that is removed with all it holds. With FUCHSIALAB_KEEP in the environment it stays, for its logs.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::string pathOf(const std::string &name) const
    {
        return m_path + '/' + name;
    }

private:
    std::string m_path;
};

} // namespace Fuchsiastep
