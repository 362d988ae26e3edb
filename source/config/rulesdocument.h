// The TOML form of the rules: one document for all branches, kept by the platform's table service.
#pragma once

#include "config/finding.h"
#include "config/ruleset.h"

#include <boost/leaf.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Bluebellquay {

class RulesDocument
{
public:
    // Validates the document as a whole. On error the LEAF error carries Findings: all of them.
    // The file name is used in findings only.
    static boost::leaf::result<RulesDocument> parse(std::string text, std::string_view fileName);

    const std::string &text() const { return m_text; }
    const std::shared_ptr<const RuleSet> &rules() const { return m_rules; }

private:
    RulesDocument(std::string text, std::shared_ptr<const RuleSet> rules)
        : m_text(std::move(text))
        , m_rules(std::move(rules))
    { }

    std::string m_text;
    // Never null; the parsed form of m_text.
    std::shared_ptr<const RuleSet> m_rules;
};

} // namespace Bluebellquay
