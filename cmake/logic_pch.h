#pragma once

#include <boost/json.hpp>
#include <fmt/format.h>
#include <tl/expected.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>
