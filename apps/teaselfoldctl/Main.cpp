#include "Commands.h"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace teaselfold::Ctl;
    const auto parsed = parseOptions(argc, argv);
    if (const auto* exit = std::get_if<EarlyExit>(&parsed)) {
        (exit->code == ExitCode::Done ? std::cout : std::cerr) << exit->text;
        return static_cast<int>(exit->code);
    }
    return static_cast<int>(Commands(std::get<Options>(parsed)).run());
}
