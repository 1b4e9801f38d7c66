#pragma once

// Generated code is not held to the style of this project, so that the linter must see it as a library's header.
#pragma GCC system_header

#include "Peers_generated.h"
