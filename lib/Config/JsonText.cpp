#include "catkinwing/Config/JsonText.h"

#include "JsonPointer.h"
#include "ReadJson.h"
#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

namespace {

    using nlohmann::json;

    /// Longest part of the parser's message that is passed on.
    constexpr std::size_t maximumMessageBytes = 300;

    bool isUnprintable(char character)
    {
        return !absl::ascii_isprint(static_cast<unsigned char>(character));
    }

    /// Walks through the text without building anything, and notes what the
    /// parser would pass over (repeated members) or could not survive (depth).
    class StructureScan final : public nlohmann::json_sax<json> {
    public:
        explicit StructureScan(absl::string_view text)
            : m_text(text)
        {
        }

        std::vector<ConfigFault> takeFaults() { return std::move(m_faults); }

        bool null() override { return onValue(); }
        bool boolean(bool) override { return onValue(); }
        bool number_integer(number_integer_t) override { return onValue(); }
        bool number_unsigned(number_unsigned_t) override { return onValue(); }
        bool number_float(number_float_t, const string_t&) override { return onValue(); }
        bool string(string_t&) override { return onValue(); }
        bool binary(binary_t&) override { return onValue(); }
        bool start_object(std::size_t) override { return open(false); }
        bool start_array(std::size_t) override { return open(true); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }
        bool key(string_t& name) override;
        bool parse_error(std::size_t position, const std::string& token, const nlohmann::detail::exception& error) override;

    private:
        struct Level {
            bool isArray;
            std::size_t items { 0 };
            std::string member;
            absl::flat_hash_set<std::string> members;
        };

        bool open(bool isArray);
        bool close();
        bool onValue();
        bool refuse(std::string place, std::string message);
        /// Returns the pointer of the value being read.
        std::string pointer() const { return pointer(m_levels.size()); }
        /// Returns the pointer of the innermost object or array.
        std::string parentPointer() const { return pointer(m_levels.size() - 1); }
        std::string pointer(std::size_t depth) const;
        std::string location(std::size_t position) const;

        absl::string_view m_text;
        std::size_t m_values { 0 };
        std::size_t m_objects { 0 };
        std::vector<Level> m_levels;
        std::vector<ConfigFault> m_faults;
    };

    bool StructureScan::open(bool isArray)
    {
        if (!onValue())
            return false;
        m_objects += isArray ? 0 : 1;
        if (m_objects > maximumDocumentObjects)
            return refuse("", absl::StrCat("more than ", maximumDocumentObjects, " objects"));
        if (m_levels.size() == maximumDocumentDepth)
            return refuse(pointer(), absl::StrCat("nested deeper than ", maximumDocumentDepth, " levels"));
        m_levels.push_back(Level { isArray, 0, {}, {} });
        return true;
    }

    bool StructureScan::close()
    {
        m_levels.pop_back();
        return true;
    }

    bool StructureScan::onValue()
    {
        if (!m_levels.empty() && m_levels.back().isArray)
            ++m_levels.back().items;
        if (++m_values > maximumDocumentValues)
            return refuse("", absl::StrCat("more than ", maximumDocumentValues, " values"));
        return true;
    }

    /// Reports a fault that ends the scan.
    bool StructureScan::refuse(std::string place, std::string message)
    {
        m_faults.push_back({ std::move(place), std::move(message) });
        return false;
    }

    bool StructureScan::key(string_t& name)
    {
        Level& level = m_levels.back();
        if (name.size() > maximumFieldNameBytes)
            return refuse(parentPointer(), absl::StrCat("the name of a field is longer than ", maximumFieldNameBytes, " bytes"));
        level.member = name;
        if (level.members.insert(name).second)
            return true;
        m_faults.push_back({ pointer(), "the field stands here a second time" });
        return m_faults.size() < maximumRepeatedFields || refuse("", "too many repeated fields");
    }

    std::string StructureScan::pointer(std::size_t depth) const
    {
        std::string pointer;
        for (std::size_t i = 0; i < depth; ++i) {
            const Level& level = m_levels[i];
            pointer = level.isArray ? itemPointer(pointer, level.items - 1) : memberPointer(pointer, level.member);
        }
        return pointer;
    }

    std::string StructureScan::location(std::size_t position) const
    {
        absl::string_view before = m_text.substr(0, position);
        auto lines = std::count(before.begin(), before.end(), '\n');
        std::size_t lastBreak = before.rfind('\n');
        std::size_t column = lastBreak == absl::string_view::npos ? before.size() : before.size() - lastBreak - 1;
        return absl::StrCat("line ", lines + 1, ", column ", column);
    }

    // The parser's message begins with an error code, may lack the location and
    // may quote bytes of the text that aren't valid UTF-8.
    bool StructureScan::parse_error(std::size_t position, const std::string&, const nlohmann::detail::exception& error)
    {
        absl::string_view reason = error.what();
        std::size_t codeEnd = reason.find("] ");
        if (codeEnd != absl::string_view::npos)
            reason.remove_prefix(codeEnd + 2);
        std::string message(reason.substr(0, maximumMessageBytes));
        if (!absl::StrContains(message, "at line "))
            message = absl::StrCat("parse error at ", location(position), ": ", message);
        std::replace_if(message.begin(), message.end(), isUnprintable, '?');
        return refuse("", std::move(message));
    }

} // namespace

std::optional<json> readJson(absl::string_view text, std::vector<ConfigFault>& faults)
{
    if (text.size() > maximumDocumentBytes) {
        faults.push_back({ "", absl::StrCat("larger than ", maximumDocumentBytes, " bytes") });
        return std::nullopt;
    }
    StructureScan scan(text);
    bool isWellFormed = json::sax_parse(text.begin(), text.end(), &scan);
    faults = scan.takeFaults();
    if (!isWellFormed)
        return std::nullopt;
    return json::parse(text.begin(), text.end(), nullptr, false);
}

ConfigResult<json> parseJsonText(absl::string_view text)
{
    ConfigResult<json> result;
    result.document = readJson(text, result.faults);
    if (!result.faults.empty())
        result.document.reset();
    return result;
}

} // namespace catkinwing
