#include "emulator/load/LoadComparison.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace teaselfold;

namespace {

/** A report file of the load tool in the current directory; the destructor removes it. */
class ReportFile {
public:
    ReportFile(std::string path, const std::string& text)
        : path(std::move(path))
    {
        std::ofstream(this->path) << text;
    }
    ReportFile(const ReportFile&) = delete;
    ReportFile& operator=(const ReportFile&) = delete;
    ~ReportFile() { std::remove(this->path.c_str()); }

private:
    std::string path;
};

}

TEST_CASE("a comparison shows minimum, median and maximum of the runs and the ratio to the first column")
{
    const ReportFile a1("compare-a1.json", R"({"all": {"p99_ms": 10}, "engines_read": 3})");
    const ReportFile a2("compare-a2.json", R"({"all": {"p99_ms": 30}, "engines_read": 3})");
    const ReportFile a3("compare-a3.json", R"({"all": {"p99_ms": 20}, "engines_read": 3})");
    const ReportFile b1("compare-b1.json", R"({"all": {"p99_ms": 50}, "engines_read": 3})");
    const auto first = readComparedRuns("a=compare-a1.json,compare-a2.json,compare-a3.json", "all");
    const auto second = readComparedRuns("b=compare-b1.json", "all");
    REQUIRE(first);
    REQUIRE(second);
    std::ostringstream out;
    writeComparison(out, { *first, *second });
    CHECK(out.str().find("10.00 / 20.00 / 30.00 x1.00") != std::string::npos);
    CHECK(out.str().find("50.00 / 50.00 / 50.00 x2.50") != std::string::npos);
}

TEST_CASE("runs to compare are rejected if a file, the group or the name is missing")
{
    const ReportFile report("compare-c1.json", R"({"all": {"p99_ms": 10}})");
    CHECK_FALSE(readComparedRuns("a=compare-none.json", "all"));
    CHECK_FALSE(readComparedRuns("a=compare-c1.json", "elsewhere"));
    CHECK_FALSE(readComparedRuns("compare-c1.json", "all"));
}
