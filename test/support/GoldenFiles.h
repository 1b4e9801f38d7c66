#pragma once

#include <filesystem>
#include <string>

namespace teaselfold::testing {

/** @return the folder of the stories and golden files; `TEASELFOLD_TEST_DIR` names the folder of the tests. */
std::filesystem::path goldenFolder();

/** @return the text of a file; empty when there is none. */
std::string readFile(const std::filesystem::path& path);

/** @return the text of a file in the folder of the stories. */
std::string readGoldenFile(const std::string& name);

}
