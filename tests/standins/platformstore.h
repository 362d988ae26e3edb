// Stand-in for the platform's metadata store: rows in tables with versions, and the feed of their
// changes. It can be down, silent, slow, forget its history, and lose answers after the work is
// done.
#pragma once

#include "kernel/timerservice.h"
#include "net/httpserver.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay::Testing {

enum class StoreMode { Serving, Refusing, Silent };

class PlatformStore
{
public:
    PlatformStore(boost::asio::io_context &context, TimerService &timers, std::uint64_t seed);

    unsigned short port() const { return m_server->port(); }
    void put(const std::string &table, const std::string &key, const std::string &value);
    // Feeds show the row as removed.
    void remove(const std::string &table, const std::string &key);
    void setMode(StoreMode mode) { m_mode = mode; }
    // Rows of one answer to a whole read.
    void setPageRows(std::size_t rows) { m_pageRows = rows; }
    void setDelay(Duration delay) { m_delay = delay; }
    void setLostAnswers(double share) { m_lostAnswers = share; }
    // Feeds that ask for changes before now are told that the history is gone.
    void forgetHistory();
    std::size_t rows(const std::string &table) const;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct Feed
    {
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
        std::uint64_t number = 0;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void serve(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void get(const std::map<std::string, std::string> &query,
             const std::shared_ptr<HttpExchange> &exchange);
    void feed(const std::map<std::string, std::string> &query,
              const std::shared_ptr<HttpExchange> &exchange);
    void transact(const std::string &body, const std::shared_ptr<HttpExchange> &exchange);
    std::string changes(const std::string &table, std::uint64_t after, bool &any) const;
    void answerFeeds();
    void respond(const std::shared_ptr<HttpExchange> &exchange, unsigned status, std::string body);

    TimerService &m_timers;
    std::mt19937_64 m_random;
    std::unique_ptr<HttpServer> m_server;
    StoreMode m_mode = StoreMode::Serving;
    std::size_t m_pageRows = 500;
    Duration m_delay{0};
    double m_lostAnswers = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_historyFrom = 0;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::vector<Feed> m_feeds;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, TimerSubscription> m_pending;
    // Calls that never get an answer stay open.
    std::deque<std::shared_ptr<HttpExchange>> m_silent;
};

} // namespace Bluebellquay::Testing
