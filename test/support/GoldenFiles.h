#pragma once

#include <filesystem>
#include <string>

namespace teaselfold::testing {

/** @return the folder of the stories and golden files, `golden/sessions` under `TEASELFOLD_TEST_DIR` or under `test`.
 */
std::filesystem::path goldenFolder();

/** @return the text of a file; empty if the file does not exist. */
std::string readFile(const std::filesystem::path& path);

/** @return the text of a file in `goldenFolder()`. */
std::string readGoldenFile(const std::string& name);

}
