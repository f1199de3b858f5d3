#pragma once

// Include this after all other headers: Criterion's macros break Boost's
// headers.
#include <criterion/criterion.h>
