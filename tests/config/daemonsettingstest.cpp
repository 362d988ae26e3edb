// Guards against a daemon that starts with settings it misread, and against secrets in findings.
#include "config/daemonsettings.h"
#include "config/loading.h"
#include "config/temporaryfile.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Bluebellquay;

namespace {

const std::string Secret = "correct-horse-battery-staple";

// Settings as a map, so that a test can change single keys.
using Lines = std::map<std::string, std::string>;

std::string toToml(const Lines &lines)
{
    std::string text;
    for (const auto &[key, value] : lines)
        text.append(key).append(" = ").append(value).append("\n");
    return text;
}

class SettingsFixture
{
protected:
    TemporaryFolder m_folder;
    Lines m_agent{{"name", "\"agent-1\""},
                  {"data_centre", "\"kumamoto\""},
                  {"region", "\"kyushu\""},
                  {"peer_listen", "\"127.0.0.1:0\""},
                  {"peer_secret_file", quoted(m_folder.write("peer", Secret + "\n"))},
                  {"admin_listen", "\"0.0.0.0:0\""},
                  {"upstream_listen", "\"[::1]:7203\""},
                  {"entries", "[\"10.0.0.1:7101\"]"}};

    static std::string quoted(const std::string &text) { return "\"" + text + "\""; }

    Lines entryLines() const
    {
        Lines lines = m_agent;
        lines.erase("upstream_listen");
        lines.erase("entries");
        lines["caller_listen"] = "\"127.0.0.1:0\"";
        lines["operator_listen"] = "\"127.0.0.1:0\"";
        lines["operator_secret_file"] = lines["peer_secret_file"];
        lines["table_address"] = "\"127.0.0.1:7900\"";
        return lines;
    }
    Loaded<AgentSettings> loadAgent(const std::string &text) const
    {
        const std::string path = m_folder.write("agent.toml", text);
        return loadAll([&] { return AgentSettings::load(path); });
    }
    Loaded<AgentSettings> loadAgentWith(const std::string &key, const std::string &value) const
    {
        Lines lines = m_agent;
        lines[key] = value;
        return loadAgent(toToml(lines));
    }
    Loaded<EntrySettings> loadEntry(const Lines &lines) const
    {
        const std::string path = m_folder.write("entry.toml", toToml(lines));
        return loadAll([&] { return EntrySettings::load(path); });
    }
};

} // namespace

TEST_CASE_METHOD(SettingsFixture, "Agent settings are read with their defaults", "[config]")
{
    Lines lines = m_agent;
    lines["lost_timeout_ms"] = "2500";
    lines["log_level"] = "\"warning\"";
    const auto loaded = loadAgent(toToml(lines));
    INFO(toString(loaded.findings));
    REQUIRE(loaded.value);
    CHECK(loaded.value->process.name == "agent-1");
    CHECK(loaded.value->process.peerSecret == Secret);
    CHECK(loaded.value->process.logLevel == LogLevel::Warning);
    CHECK(loaded.value->process.peerListen.address().is_loopback());
    CHECK(loaded.value->upstreamListen.port() == 7203);
    CHECK(loaded.value->entries == std::vector<std::string>{"10.0.0.1:7101"});
    CHECK(loaded.value->lostTimeout == std::chrono::milliseconds(2500));
    CHECK(loaded.value->issuePeriod == AgentSettings().issuePeriod);
}

TEST_CASE_METHOD(SettingsFixture, "Entry settings are read with their defaults", "[config]")
{
    Lines lines = entryLines();
    lines["max_calls"] = "12";
    const auto loaded = loadEntry(lines);
    INFO(toString(loaded.findings));
    REQUIRE(loaded.value);
    CHECK(loaded.value->tableAddress == "127.0.0.1:7900");
    CHECK(loaded.value->operatorSecret == Secret);
    CHECK(loaded.value->maxCalls == 12);
    CHECK(loaded.value->drainGrace == EntrySettings().drainGrace);
}

TEST_CASE_METHOD(SettingsFixture, "Each wrong value is a finding at its key", "[config]")
{
    const std::vector<std::pair<std::string, std::string>> wrong = {
        {"name", "\"two words\""},
        {"name", "5"},
        {"peer_listen", "\"0.0.0.0:7201\""},
        {"peer_listen", "\"localhost:7201\""},
        {"peer_listen", "\"127.0.0.1\""},
        {"admin_listen", "\"127.0.0.1:70000\""},
        {"admin_listen", "\"::1:80\""},
        {"upstream_listen", "\"10.0.0.1:7203\""},
        {"entries", "\"10.0.0.1:7101\""},
        {"log_level", "\"verbose\""},
        {"max_records", "1"},
        {"issue_period_ms", "9223372036854775807"},
        {"announce_timeout_ms", "1e3"},
        {"silence_timeout_ms", "900"},
        {"announce_timeout", "2000"},
    };
    for (const auto &[key, value] : wrong) {
        INFO(key << " = " << value);
        const auto loaded = loadAgentWith(key, value);
        CHECK_FALSE(loaded.value);
        CHECK(loaded.findings.size() == 1);
        REQUIRE(loaded.findingAt(key) != nullptr);
        CHECK(loaded.findingAt(key)->line != 0);
    }
}

TEST_CASE_METHOD(SettingsFixture, "Each bad or repeated entry address is a finding", "[config]")
{
    const auto loaded = loadAgentWith(
        "entries", R"(["10.0.0.1:7101", "10.0.0.1:0", "10.0.0.1:7101", 3, "0.0.0.0:7101"])");
    CHECK(loaded.findings.size() == 4);
    CHECK(loaded.findingAt("entries.1") != nullptr);
    REQUIRE(loaded.findingAt("entries.2") != nullptr);
    CHECK(loaded.findingAt("entries.2")->message.find("twice") != std::string::npos);
    CHECK(loaded.findingAt("entries.3") != nullptr);
    CHECK(loaded.findingAt("entries.4") != nullptr);
}

TEST_CASE_METHOD(SettingsFixture, "Missing keys are all reported, with what to add", "[config]")
{
    const auto loaded = loadAgent("region = \"kyushu\"\n");
    CHECK(loaded.findings.size() == 7);
    REQUIRE(loaded.findingAt("upstream_listen") != nullptr);
    CHECK(loaded.findingAt("upstream_listen")->remedy.find("loopback") != std::string::npos);
}

TEST_CASE_METHOD(SettingsFixture, "Two listeners with one address are a finding", "[config]")
{
    Lines lines = entryLines();
    lines["operator_listen"] = "\"127.0.0.1:7000\"";
    lines["caller_listen"] = "\"127.0.0.1:7000\"";
    const auto loaded = loadEntry(lines);
    REQUIRE(loaded.findings.size() == 1);
    CHECK(loaded.findings[0].place == "operator_listen");
}

TEST_CASE_METHOD(SettingsFixture, "A settings file that can't be read is a finding", "[config]")
{
    const auto missing = loadAll([] { return AgentSettings::load("/nonexistent/agent.toml"); });
    REQUIRE(missing.findings.size() == 1);
    CHECK(missing.findings[0].file == "/nonexistent/agent.toml");
    const auto folder = loadAll([] { return EntrySettings::load("/"); });
    CHECK(folder.findings.size() == 1);
}

TEST_CASE_METHOD(SettingsFixture, "An unusable secret file is a finding without its content",
                 "[config]")
{
    const std::vector<std::string> paths = {
        m_folder.write("open", Secret, 0604),
        m_folder.write("empty", " \n\n"),
        m_folder.write("lines", Secret + "\n" + Secret),
        m_folder.write("long", Secret + std::string(5000, 'x')),
        "/",
        "/nonexistent/secret",
        // The secret itself is given in place of its path.
        Secret,
    };
    for (const std::string &path : paths) {
        INFO(path);
        const auto loaded = loadAgentWith("peer_secret_file", quoted(path));
        CHECK_FALSE(loaded.value);
        REQUIRE(loaded.findings.size() == 1);
        CHECK(loaded.findings[0].place == "peer_secret_file");
        CHECK(toString(loaded.findings).find(Secret) == std::string::npos);
    }
}

TEST_CASE_METHOD(SettingsFixture, "A secret written into the settings is not repeated", "[config]")
{
    for (const std::string &value : {quoted(Secret), Secret, "[" + quoted(Secret) + "]"}) {
        const auto loaded = loadAgentWith("peer_secret", value);
        CHECK_FALSE(loaded.value);
        REQUIRE(loaded.findings.size() == 1);
        CHECK(toString(loaded.findings).find(Secret) == std::string::npos);
    }
}
