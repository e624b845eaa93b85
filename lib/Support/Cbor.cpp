#include "catkinwing/Support/Cbor.h"

#include <cstddef>

namespace catkinwing {

using nlohmann::json;

/// Our messages nest at most four deep.
static constexpr std::size_t maxDepth = 16;

namespace {

    /// Goes through an item without building it. The library throws for an array
    /// that announces more elements than memory could hold, even where it is asked
    /// not to, and goes one call deeper for each level, to the end of the stack.
    class ShapeCheck final : public nlohmann::json_sax<json> {
    public:
        explicit ShapeCheck(std::size_t bytes)
            : m_bytes(bytes)
        {
        }

        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool key(string_t&) override { return true; }
        bool start_object(std::size_t elements) override { return open(elements); }
        bool end_object() override { return close(); }
        bool start_array(std::size_t elements) override { return open(elements); }
        bool end_array() override { return close(); }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

    private:
        bool open(std::size_t elements)
        {
            constexpr auto notAnnounced = static_cast<std::size_t>(-1);
            // Each element takes a byte at least.
            return (elements == notAnnounced || elements <= m_bytes) && ++m_depth <= maxDepth;
        }
        bool close()
        {
            --m_depth;
            return true;
        }

        std::size_t m_bytes;
        std::size_t m_depth { 0 };
    };

} // namespace

json parseCbor(absl::string_view bytes)
{
    ShapeCheck check(bytes.size());
    if (!json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::cbor))
        return json(json::value_t::discarded);
    return json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

} // namespace catkinwing
