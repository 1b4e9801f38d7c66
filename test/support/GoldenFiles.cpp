#include "support/GoldenFiles.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace teaselfold::testing {

std::filesystem::path goldenFolder()
{
    const char* folder = std::getenv("TEASELFOLD_TEST_DIR");
    return std::filesystem::path(folder ? folder : "test") / "golden" / "sessions";
}

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string readGoldenFile(const std::string& name) { return readFile(goldenFolder() / name); }

}
