#include <LibLab/TemporaryFolder.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace Fuchsiastep {

TemporaryFolder::TemporaryFolder() : m_path((std::filesystem::temp_directory_path() / "fuchsialab-XXXXXX").string())
{
    if (mkdtemp(m_path.data()) == nullptr) {
        m_path.clear();
    }
}

TemporaryFolder::~TemporaryFolder()
{
    if (m_path.empty()) {
        return;
    }
    if (std::getenv("FUCHSIALAB_KEEP") != nullptr) { // NOLINT(concurrency-mt-unsafe): nothing changes the environment.
        std::cerr << "logs are kept in " << m_path << '\n';
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

} // namespace Fuchsiastep
