#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace catkinwing {

/// One row of a table that a message holds as a flat array of counts.
template <std::size_t Columns>
using CountRow = std::array<std::uint32_t, Columns>;

inline void appendCounts(nlohmann::json& numbers, std::initializer_list<std::uint32_t> row)
{
    for (std::uint32_t number : row)
        numbers.push_back(number);
}

/// Reads a flat array of counts back; nothing if it is none, holds other than
/// whole numbers from zero on, or ends within a row.
template <std::size_t Columns>
std::optional<std::vector<CountRow<Columns>>> readCounts(const nlohmann::json& numbers)
{
    if (!numbers.is_array() || numbers.size() % Columns != 0)
        return std::nullopt;
    std::vector<CountRow<Columns>> rows(numbers.size() / Columns);
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        if (!numbers[i].is_number_unsigned())
            return std::nullopt;
        rows[i / Columns][i % Columns] = numbers[i].get<std::uint32_t>();
    }
    return rows;
}

} // namespace catkinwing
