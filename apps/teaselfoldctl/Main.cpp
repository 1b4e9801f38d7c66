#include "Commands.h"

#include <iostream>

int main(int count, char** words)
{
    using namespace teaselfold::Ctl;
    const auto parsed = parseOptions(count, words);
    if (const auto* end = std::get_if<EndNow>(&parsed)) {
        (end->code == ExitCode::Done ? std::cout : std::cerr) << end->text;
        return static_cast<int>(end->code);
    }
    return static_cast<int>(Commands(std::get<Options>(parsed)).run());
}
