// Rules documents and table rows for the tests of the configuration.
#pragma once

#include "core/configmanager.h"
#include "core/configrow.h"

#include <catch2/catch.hpp>
#include <string>

namespace Bluebellquay {

// A valid document that differs by its comment.
inline std::string sampleDocument(const std::string &comment)
{
    return "# " + comment
        + "\n[branch.hinokuni.kind.search]\nurgency = \"normal\"\nidempotent = true\n";
}

inline ConfigDocument document(std::uint64_t version, const std::string &changeId)
{
    return {ConfigVersion(version), changeId, sampleDocument(changeId)};
}

inline ConfigChange change(std::uint64_t expected, const std::string &changeId)
{
    return {sampleDocument(changeId), ConfigVersion(expected), changeId};
}

inline TableRow row(std::uint64_t rowVersion, const ConfigDocument &content)
{
    return {"config/rules", rowVersion, toConfigRow(content)};
}

} // namespace Bluebellquay
