#include "standins/platformstore.h"

#include "standins/loopbackserver.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

namespace base64 = boost::beast::detail::base64;

std::string encode(const std::string &bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decode(const std::string &text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (; !text.empty(); text.remove_prefix(1)) {
        unsigned byte = 0;
        constexpr int HexBase = 16;
        if (text.size() > 2 && text[0] == '%'
            && std::from_chars(text.data() + 1, text.data() + 3, byte, HexBase).ptr
                == text.data() + 3) {
            decoded.push_back(static_cast<char>(byte));
            text.remove_prefix(2);
        } else {
            decoded.push_back(text[0] == '+' ? ' ' : text[0]);
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    rest = rest.substr(0, rest.find('#'));
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[std::string(pair.substr(0, equals))] = percentDecode(pair.substr(equals + 1));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return query;
}

} // namespace

PlatformStore::PlatformStore(boost::asio::io_context &context, TimerService &timers,
                             std::uint64_t seed)
    : m_timers(timers)
    , m_random(seed)
{
    m_server = serveOnLoopback(context, timers, *this, &PlatformStore::handle);
}

void PlatformStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_tables[table][key] = Row{value, ++m_version};
    answerFeeds();
}

void PlatformStore::remove(const std::string &table, const std::string &key)
{
    m_tables[table][key] = Row{{}, ++m_version, true};
    answerFeeds();
}

void PlatformStore::forgetHistory()
{
    m_historyFrom = m_version;
}

std::size_t PlatformStore::rows(const std::string &table) const
{
    const auto position = m_tables.find(table);
    return position == m_tables.end() ? 0 : position->second.size();
}

void PlatformStore::handle(const HttpRequest &request,
                           const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_mode == StoreMode::Refusing)
        return exchange->respond({503, {}, {}});
    if (m_mode == StoreMode::Silent) {
        m_silent.push_back(exchange);
        return;
    }
    if (m_delay == Duration(0))
        return serve(request, exchange);
    const std::uint64_t number = ++m_lastNumber;
    m_pending[number] =
        m_timers.at(m_timers.now() + m_delay, [this, number, request, exchange](TimePoint) {
            serve(request, exchange);
            m_pending.erase(number);
        });
}

void PlatformStore::serve(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto query = parseQuery(request.target);
    const std::string path = request.target.substr(0, request.target.find('?'));
    const auto table = query.find("table");
    if (path == "/v1/rows-get" && table != query.end())
        return get(query, exchange);
    if (path == "/v1/rows-feed" && table != query.end())
        return feed(query, exchange);
    if (path == "/v1/rows-tx")
        return transact(request.body, exchange);
    exchange->respond({404, {}, {}});
}

void PlatformStore::get(const std::map<std::string, std::string> &query,
                        const std::shared_ptr<HttpExchange> &exchange)
{
    bool any = false;
    nlohmann::json answer = nlohmann::json::parse(changes(query.at("table"), 0, any));
    const auto from = query.find("from");
    nlohmann::json page = nlohmann::json::array();
    for (const nlohmann::json &row : answer["rows"]) {
        if (from != query.end() && row["key"].get<std::string>() < from->second)
            continue;
        answer["hasMore"] = page.size() == m_pageRows;
        if (page.size() == m_pageRows)
            break;
        page.push_back(row);
    }
    answer["rows"] = page;
    respond(exchange, 200, answer.dump());
}

std::string PlatformStore::changes(const std::string &table, std::uint64_t after, bool &any) const
{
    nlohmann::json rows = nlohmann::json::array();
    const auto position = m_tables.find(table);
    if (position != m_tables.end()) {
        for (const auto &[key, row] : position->second) {
            // A whole read leaves out what was removed.
            if (row.version <= after || (row.removed && after == 0))
                continue;
            rows.push_back({{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}});
            if (row.removed)
                rows.back()["deleted"] = true;
            else
                rows.back()["value"] = encode(row.value);
        }
    }
    any = !rows.empty();
    return nlohmann::json{{"rows", rows}, {"ver", m_version}, {"hasMore", false}, {"nowMs", 1}}
        .dump();
}

void PlatformStore::feed(const std::map<std::string, std::string> &query,
                         const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after"));
    if (after < m_historyFrom)
        return respond(exchange, 410, {});
    bool any = false;
    const std::string body = changes(table, after, any);
    if (any)
        return respond(exchange, 200, body);
    const std::uint64_t number = ++m_lastNumber;
    m_feeds.push_back({table, after, exchange, number});
    const std::chrono::milliseconds wait(std::stoull(query.at("waitMs")));
    m_pending[number] = m_timers.at(m_timers.now() + wait, [this, number, body](TimePoint) {
        const auto position = std::find_if(m_feeds.begin(), m_feeds.end(),
                                           [&](const Feed &feed) { return feed.number == number; });
        if (position != m_feeds.end()) {
            const auto waiting = position->exchange;
            m_feeds.erase(position);
            respond(waiting, 200, body);
        }
        m_pending.erase(number);
    });
}

void PlatformStore::answerFeeds()
{
    for (Feed &feed : std::exchange(m_feeds, {})) {
        bool any = false;
        const std::string body = changes(feed.table, feed.after, any);
        if (any && m_mode == StoreMode::Serving) {
            m_pending.erase(feed.number);
            respond(feed.exchange, 200, body);
        } else {
            m_feeds.push_back(std::move(feed));
        }
    }
}

void PlatformStore::transact(const std::string &body, const std::shared_ptr<HttpExchange> &exchange)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_discarded())
        return exchange->respond({400, {}, {}});
    for (const nlohmann::json &condition : document["precondition"]) {
        const Row &row = m_tables[condition["table"]][condition["key"]];
        if (row.version != condition["ver"])
            return respond(exchange, 412, {});
    }
    for (const nlohmann::json &row : document["puts"])
        put(row["table"], row["key"], decode(row["value"]));
    respond(exchange, 200, nlohmann::json{{"ver", m_version}, {"nowMs", 1}}.dump());
}

void PlatformStore::respond(const std::shared_ptr<HttpExchange> &exchange, unsigned status,
                            std::string body)
{
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(m_random) < m_lostAnswers) {
        m_silent.push_back(exchange);
        return;
    }
    exchange->respond({status, std::move(body), {}});
}

} // namespace Bluebellquay::Testing
