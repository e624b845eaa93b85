#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include "catkinwing/Config/KeyDigest.h"
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace catkinwing {

/// A small valid model document.
inline nlohmann::json modelJson()
{
    return nlohmann::json::parse(R"({
        "versions": ["1"], "sizeMegabytes": 100,
        "adapters": [{ "name": "a1", "sizeMegabytes": 1 }, { "name": "a2", "sizeMegabytes": 1 }]
    })");
}

/// A small valid region document.
inline nlohmann::json regionJson()
{
    return nlohmann::json::parse(R"({
        "availabilityZones": [{ "name": "z1" }, { "name": "z2" }],
        "links": [{ "to": "other", "oneWayLatency": "55ms" }],
        "endpoints": [
            { "name": "e1", "availabilityZone": "z1", "address": "127.0.0.1:1", "kind": "engine", "models": ["m"],
              "slots": 4, "prefillTokensPerSecond": 1000, "decodeTokensPerSecond": 100.5 },
            { "name": "s1", "availabilityZone": "z2", "address": "[::1]:2", "kind": "service", "service": "desk", "slots": 1 }
        ]
    })");
}

/// A small valid team document whose one caller's key is \p key.
inline nlohmann::json teamJson(const std::string& key = "key")
{
    nlohmann::json team = nlohmann::json::parse(R"({
        "share": 2, "models": ["m"], "services": [{ "name": "desk" }], "residency": { "regions": ["r"] },
        "classes": [{ "name": "c1", "timeout": "2s", "targets": { "ratio": 0.9 } }, { "name": "c2", "timeout": "1h30m" }],
        "defaultClass": "c1", "limits": { "maximumInFlight": 3 }
    })");
    team["keys"] = { { { "name", "k1" }, { "sha256", sha256Hex(key) } } };
    return team;
}

/// A small valid settings file.
inline nlohmann::json daemonJson()
{
    return nlohmann::json::parse(R"({
        "name": "e", "region": "r", "availabilityZone": "z1", "store": ["127.0.0.1:5"],
        "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:3", "operators": "127.0.0.1:4" }
    })");
}

/// One change that makes a valid document invalid, and where the fault is then.
struct BrokenDocument {
    /// Where \p value is put; a last step of "-" appends.
    const char* place;
    nlohmann::json value;
    /// The pointer of the one fault; `place` if empty.
    std::string pointer {};
};

/// Returns \p document with one value put in.
inline nlohmann::json withValue(nlohmann::json document, const BrokenDocument& broken)
{
    document[nlohmann::json::json_pointer(broken.place)] = broken.value;
    return document;
}

/// Returns the pointers of \p faults, each once.
inline std::vector<std::string> pointersOf(const std::vector<ConfigFault>& faults)
{
    std::vector<std::string> pointers;
    for (const ConfigFault& fault : faults) {
        if (std::find(pointers.begin(), pointers.end(), fault.pointer) == pointers.end())
            pointers.push_back(fault.pointer);
    }
    return pointers;
}

} // namespace catkinwing
