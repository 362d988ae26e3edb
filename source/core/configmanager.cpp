#include "core/configmanager.h"

#include "config/rulesdocument.h"
#include "core/configrow.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Bluebellquay {

namespace {

constexpr std::size_t MaxChangeIdBytes = 128;

// Enough for the changes of a minute at 46,000 changes a day, as long as an operator retries.
constexpr std::size_t MaxPastDocuments = 64;

struct ParsedRules
{
    // Null if there are findings.
    std::shared_ptr<const RuleSet> rules;
    Findings findings;
};

ParsedRules parseRules(const std::string &text, std::string_view fileName)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<ParsedRules> {
            BOOST_LEAF_AUTO(document, RulesDocument::parse(text, fileName));
            return ParsedRules{document.rules(), {}};
        },
        [](const Findings &findings) {
            return ParsedRules{nullptr, findings};
        },
        [] {
            return ParsedRules{nullptr, {{"", 0, "", "can't be read", "check the document"}}};
        });
}

bool isValidChangeId(const std::string &id)
{
    const auto isGraphic = [](char c) { return c > ' ' && c < '\x7f'; };
    return !id.empty() && id.size() <= MaxChangeIdBytes
        && std::all_of(id.begin(), id.end(), isGraphic);
}

std::string describe(ConfigVersion version, const std::string &changeId)
{
    std::string text = "version " + std::to_string(version.value());
    if (!changeId.empty())
        text += " (change id \"" + changeId + "\")";
    return text;
}

} // namespace

ConfigManager::ConfigManager(ConfigManagerSettings settings, TimePoint start)
    : m_settings(std::move(settings))
    , m_start(start)
    , m_nextPoll(start)
    , m_nextRequest(start)
{ }

ConfigVersion ConfigManager::version() const
{
    return m_current ? m_current->document.version : ConfigVersion();
}

ConfigVersion ConfigManager::highestKnown() const
{
    ConfigVersion highest = version();
    for (const auto &[peer, peerVersion] : m_peerVersions)
        highest = std::max(highest, peerVersion);
    return highest;
}

bool ConfigManager::ready(TimePoint now)
{
    if (m_ready || !m_current)
        return m_ready;
    const bool discoveryDone = now >= m_start + m_settings.peerDiscoveryTime;
    const bool knowsAllVersions = discoveryDone || (m_tableAnswered && m_peerHeard);
    const bool isHighest = version() == highestKnown();
    m_ready = (knowsAllVersions && isHighest) || now >= m_start + m_settings.maxStartDelay;
    return m_ready;
}

void ConfigManager::advance(TimePoint now, ConfigOutbox &out)
{
    endOverdue(now, out);
    PendingChanges due;
    for (auto position = m_pendingChanges.begin(); position != m_pendingChanges.end();) {
        const auto next = std::next(position);
        if (position->second.retryAt && *position->second.retryAt <= now)
            due.insert(m_pendingChanges.extract(position));
        position = next;
    }
    for (auto &[operation, apply] : due)
        startRead(std::move(apply), out);
    if (!m_pollOperation && now >= m_nextPoll) {
        m_pollOperation = nextOperation();
        m_nextPoll = now + m_settings.pollInterval;
        read(*m_pollOperation, out);
    }
}

TimePoint ConfigManager::nextWakeup() const
{
    TimePoint next = m_pollOperation ? TimePoint::max() : m_nextPoll;
    for (const auto &[operation, apply] : m_pendingChanges) {
        next = std::min(next, apply.deadline);
        if (apply.retryAt)
            next = std::min(next, *apply.retryAt);
    }
    return next;
}

void ConfigManager::rowRead(TimePoint now, TableOperation operation,
                            const std::optional<TableRow> &row, ConfigOutbox &out)
{
    if (!row)
        ++m_statistics.readsFailed;
    acceptRow(row, out);
    if (m_pollOperation == operation) {
        m_pollOperation.reset();
        m_nextPoll = std::max(m_nextPoll, now);
        return;
    }
    const auto position = m_pendingChanges.find(operation);
    if (position == m_pendingChanges.end())
        return; // The change has ended meanwhile.
    PendingChange apply = std::move(position->second);
    m_pendingChanges.erase(position);
    continueChange(now, std::move(apply), row, out);
}

void ConfigManager::acceptRow(const std::optional<TableRow> &row, ConfigOutbox &out)
{
    if (!row)
        return;
    m_tableAnswered = true;
    if (row->version == 0)
        return;
    if (const auto document = parseConfigRow(row->value))
        accept(*document, out);
    else
        ++m_statistics.documentsInvalid;
}

void ConfigManager::rowWritten(TimePoint now, TableOperation operation,
                               std::optional<TableWrite> write, ConfigOutbox &out)
{
    if (!write)
        ++m_statistics.writesFailed;
    const auto position = m_pendingChanges.find(operation);
    if (position == m_pendingChanges.end())
        return;
    PendingChange apply = std::move(position->second);
    m_pendingChanges.erase(position);
    if (!write)
        return retryLater(now, std::move(apply)); // The row will tell whether it took effect.
    if (!write->ok)
        return startRead(std::move(apply), out); // The row names the winner.
    accept({apply.writtenVersion, apply.change.changeId, apply.change.text}, out);
    out.ends.push_back({apply.call, AppliedConfig{apply.writtenVersion, {}}});
}

void ConfigManager::peerVersion(TimePoint now, Incarnation peer, ConfigVersion peerVersion,
                                ConfigOutbox &out)
{
    m_peerHeard = true;
    m_peerVersions[peer] = peerVersion;
    if (peerVersion <= version() || now < m_nextRequest)
        return;
    m_nextRequest = now + m_settings.requestInterval;
    out.messages.push_back({peer, ConfigRequest{version()}});
}

void ConfigManager::handle(Incarnation from, const ConfigRequest &request, ConfigOutbox &out) const
{
    if (m_current && version() > request.above)
        out.messages.push_back({from, m_current->document});
}

void ConfigManager::handle(const ConfigDocument &document, ConfigOutbox &out)
{
    accept(document, out);
}

void ConfigManager::accept(const ConfigDocument &document, ConfigOutbox &out)
{
    if (document.version <= version()) {
        if (document.version < version())
            ++m_statistics.documentsOutdated;
        return;
    }
    const ParsedRules parsed = parseRules(document.text, m_settings.key);
    if (!parsed.rules) {
        ++m_statistics.documentsInvalid;
        return;
    }
    m_current = ConfigInForce{document, parsed.rules};
    m_pastDocuments.push_back(
        {document.changeId, document.version, std::hash<std::string>()(document.text)});
    if (m_pastDocuments.size() > MaxPastDocuments)
        m_pastDocuments.pop_front();
    out.changed = true;
}

void ConfigManager::apply(TimePoint now, CallId call, ConfigChange change,
                          std::optional<Duration> timeout, ConfigOutbox &out)
{
    if (!isValidChangeId(change.changeId)) {
        out.ends.push_back(
            {call,
             CallError{CallErrorKind::InvalidArgument,
                       "change_id: must have 1 to 128 graphic ASCII characters without spaces"}});
        return;
    }
    ParsedRules parsed = parseRules(change.text, "document");
    if (!parsed.rules) {
        out.ends.push_back({call, AppliedConfig{ConfigVersion(), std::move(parsed.findings)}});
        return;
    }
    PendingChange apply;
    apply.call = call;
    apply.change = std::move(change);
    apply.deadline = now + timeout.value_or(m_settings.defaultApplyTimeout);
    const TimePoint discoveryDone = m_start + m_settings.peerDiscoveryTime;
    if (now >= discoveryDone)
        return startRead(std::move(apply), out);
    // A peer may still come up with a higher version than the table has.
    apply.retryAt = discoveryDone;
    apply.operation = nextOperation();
    m_pendingChanges.emplace(apply.operation, std::move(apply));
}

void ConfigManager::read(TableOperation operation, ConfigOutbox &out) const
{
    out.reads.push_back({operation, m_settings.key});
}

void ConfigManager::startRead(PendingChange apply, ConfigOutbox &out)
{
    apply.retryAt.reset();
    apply.operation = nextOperation();
    read(apply.operation, out);
    m_pendingChanges.emplace(apply.operation, std::move(apply));
}

void ConfigManager::retryLater(TimePoint now, PendingChange apply)
{
    apply.retryAt = now + m_settings.retryDelay;
    m_pendingChanges.emplace(apply.operation, std::move(apply));
}

void ConfigManager::continueChange(TimePoint now, PendingChange apply,
                                   const std::optional<TableRow> &row, ConfigOutbox &out)
{
    if (!row) {
        if (apply.writeSent)
            return retryLater(now, std::move(apply));
        out.ends.push_back({apply.call,
                            CallError{CallErrorKind::Unavailable,
                                      "the table does not answer; nothing was written"}});
        return;
    }
    const std::optional<ConfigDocument> found =
        row->version == 0 ? std::nullopt : parseConfigRow(row->value);
    if (row->version != 0 && !found) {
        out.ends.push_back(
            {apply.call,
             CallError{CallErrorKind::FailedPrecondition,
                       "row " + m_settings.key + " is malformed; repair it in the table first"}});
        return;
    }
    if (found && found->changeId == apply.change.changeId) {
        if (found->text == apply.change.text)
            out.ends.push_back({apply.call, AppliedConfig{found->version, {}}});
        else
            out.ends.push_back(
                {apply.call,
                 CallError{CallErrorKind::AlreadyExists,
                           "change_id: was used for another document; choose a new one"}});
        return;
    }
    const ConfigVersion current =
        std::max(highestKnown(), found ? found->version : ConfigVersion());
    if (apply.change.expected != current)
        return endConflict(apply, found, current, out);
    if (findPastDocument(apply.change) != nullptr) {
        out.ends.push_back({apply.call,
                            CallError{CallErrorKind::AlreadyExists,
                                      "change_id: was used for an earlier version of the same "
                                      "text; choose a new one"}});
        return;
    }
    write(std::move(apply), *row, current, out);
}

void ConfigManager::write(PendingChange apply, const TableRow &row, ConfigVersion current,
                          ConfigOutbox &out)
{
    apply.writeSent = true;
    apply.operation = nextOperation();
    apply.writtenVersion = current.next();
    const ConfigDocument document{apply.writtenVersion, apply.change.changeId, apply.change.text};
    out.writes.push_back({apply.operation, m_settings.key, row.version, toConfigRow(document)});
    m_pendingChanges.emplace(apply.operation, std::move(apply));
}

const ConfigManager::PastDocument *ConfigManager::findPastDocument(const ConfigChange &change) const
{
    const std::size_t textHash = std::hash<std::string>()(change.text);
    const auto past = std::find_if(
        m_pastDocuments.begin(), m_pastDocuments.end(), [&](const PastDocument &candidate) {
            return candidate.changeId == change.changeId && candidate.textHash == textHash;
        });
    return past == m_pastDocuments.end() ? nullptr : &*past;
}

void ConfigManager::endConflict(const PendingChange &apply,
                                const std::optional<ConfigDocument> &row, ConfigVersion current,
                                ConfigOutbox &out)
{
    if (const PastDocument *past = findPastDocument(apply.change)) {
        // It was accepted and has been replaced since.
        out.ends.push_back({apply.call, AppliedConfig{past->version, {}}});
        return;
    }
    ++m_statistics.conflicts;
    std::string winner;
    if (row && row->version == current)
        winner = row->changeId;
    else if (version() == current && m_current)
        winner = m_current->document.changeId;
    std::string message = "expected version " + std::to_string(apply.change.expected.value())
        + ", but " + describe(current, winner) + " is the latest; ";
    if (apply.writeSent)
        message += "this change was not written or has been replaced already; ";
    message += "read it with ShowConfig and apply again";
    out.ends.push_back({apply.call, CallError{CallErrorKind::Aborted, std::move(message)}});
}

void ConfigManager::endOverdue(TimePoint now, ConfigOutbox &out)
{
    for (auto position = m_pendingChanges.begin(); position != m_pendingChanges.end();) {
        const PendingChange &apply = position->second;
        if (now < apply.deadline) {
            ++position;
            continue;
        }
        std::string message = "the table has not answered in time; ";
        if (apply.writeSent)
            message += "whether the change was written is not known: repeat it with change id \""
                + apply.change.changeId + "\"";
        else
            message += "nothing was written";
        out.ends.push_back({apply.call, CallError{CallErrorKind::Unavailable, std::move(message)}});
        position = m_pendingChanges.erase(position);
    }
}

} // namespace Bluebellquay
