#include "svgplot.h"

#include "crestfigures.h"
#include "figures.h"
#include "normalfigures.h"
#include "siterun.h"
#include "slotqueue.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace Bluebellquay {

namespace {

constexpr double Width = 460;
constexpr double Height = 320;
constexpr double Margin = 50;
constexpr int Ticks = 5;
constexpr std::array<const char *, 4> Colours{"#1b6ca8", "#c8553d", "#6a994e", "#8d5a97"};
constexpr Duration Second{1'000'000};
constexpr Duration Interval = Second / 4;

class PanelWriter
{
public:
    PanelWriter(std::ostream &out, const PlotPanel &panel, double left)
        : m_out(out)
        , m_panel(panel)
        , m_left(left)
        , m_first(panel.series.front().points.front().first)
        , m_last(panel.series.front().points.back().first)
    { }

    void write() const
    {
        m_out << "<rect x='" << m_left + Margin << "' y='" << Margin << "' width='"
              << Width - 2 * Margin << "' height='" << Height - 2 * Margin
              << "' fill='none' stroke='#888'/>\n";
        text(m_left + Width / 2, Margin / 2, "middle", m_panel.title);
        text(m_left + Width / 2, Height - 10, "middle", m_panel.xLabel);
        for (int i = 0; i <= Ticks; ++i) {
            const double share = static_cast<double>(i) / Ticks;
            const double x = m_first + (m_last - m_first) * share;
            const double y = value(share);
            text(xOf(x), Height - Margin + 15, "middle", number(x));
            text(m_left + Margin - 4, yOf(y) + 4, "end", number(y));
        }
        for (std::size_t i = 0; i < m_panel.series.size(); ++i)
            series(m_panel.series[i], i);
    }

private:
    static std::string number(double value)
    {
        std::array<char, 32> buffer{};
        std::snprintf(buffer.data(), buffer.size(), "%.3g", value);
        return buffer.data();
    }
    double value(double share) const
    {
        if (m_panel.logarithmic)
            return m_panel.low * std::pow(m_panel.high / m_panel.low, share);
        return m_panel.low + (m_panel.high - m_panel.low) * share;
    }
    double xOf(double x) const
    {
        return m_left + Margin + (x - m_first) / (m_last - m_first) * (Width - 2 * Margin);
    }
    double yOf(double y) const
    {
        const double shown = std::clamp(y, m_panel.low, m_panel.high);
        const double share = m_panel.logarithmic
            ? std::log(shown / m_panel.low) / std::log(m_panel.high / m_panel.low)
            : (shown - m_panel.low) / (m_panel.high - m_panel.low);
        return Height - Margin - share * (Height - 2 * Margin);
    }
    void text(double x, double y, const char *anchor, const std::string &content) const
    {
        m_out << "<text x='" << number(x) << "' y='" << number(y) << "' text-anchor='" << anchor
              << "'>" << content << "</text>\n";
    }
    void series(const PlotSeries &series, std::size_t position) const
    {
        m_out << "<polyline fill='none' stroke-width='1.5' stroke='" << Colours.at(position)
              << "' points='";
        for (const auto &[x, y] : series.points)
            m_out << number(xOf(x)) << ',' << number(yOf(y)) << ' ';
        m_out << "'/>\n<g fill='" << Colours.at(position) << "'>";
        text(m_left + Margin + 8, Margin + 16 + 14 * static_cast<double>(position), "start",
             series.name);
        m_out << "</g>\n";
    }

    std::ostream &m_out;
    const PlotPanel &m_panel;
    double m_left;
    // Range of the horizontal axis.
    double m_first;
    double m_last;
};

// Serves the trace with the site, with random placement and with a single FIFO queue. Returns the
// results with the name of each policy.
std::vector<std::pair<std::string, std::vector<ServedArrival>>>
serveWithEachPolicy(const ArrivalTrace &trace, std::uint64_t seed)
{
    SiteRun site(trace, {seed, false});
    site.run();
    return {
        {"bluebellquay", site.served()},
        {"random placement", serveFromQueue(trace, QueueOrder::RandomWorker, seed)},
        {"first come first served", serveFromQueue(trace, QueueOrder::FirstComeFirstServed, seed)}};
}

void addPoint(PlotPanel &panel, std::size_t series, const std::string &name, double x, double y)
{
    if (panel.series.size() <= series)
        panel.series.resize(series + 1);
    panel.series[series].name = name;
    panel.series[series].points.emplace_back(x, y);
}

} // namespace

void writeSvg(std::ostream &out, const std::vector<PlotPanel> &panels)
{
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='"
        << Width * static_cast<double>(panels.size()) << "' height='" << Height
        << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' "
           "fill='white'/>\n";
    for (std::size_t i = 0; i < panels.size(); ++i)
        PanelWriter(out, panels[i], Width * static_cast<double>(i)).write();
    out << "</svg>\n";
}

std::vector<PlotPanel> policyPanels(std::uint64_t seed, bool quick)
{
    PlotPanel loads{"Request slowdown, p99", "load in percent of the slots", 1, 1'000, true, {}};
    const Duration length = Second * (quick ? 60 : 300);
    for (int load = 50; load <= 95; load += 5) {
        const ArrivalTrace trace = ArrivalTrace::normal(seed, length, load / 100.0);
        std::size_t position = 0;
        for (const auto &[name, served] : serveWithEachPolicy(trace, seed))
            addPoint(loads, position++, name, load,
                     percentile(requestSlowdowns(trace, served), 0.99));
    }
    PlotPanel overload{
        "Useful work, crest of 3 times capacity from 10 s to 15 s", "seconds", 0, 1, false, {}};
    const ArrivalTrace trace = ArrivalTrace::overload(seed);
    const TimePoint start = trace.overloadStart() - Second * 10;
    std::size_t position = 0;
    for (const auto &[name, served] : serveWithEachPolicy(trace, seed)) {
        const std::vector<double> shares =
            usefulShares(trace, served, start, trace.end(), Interval);
        for (std::size_t i = 0; i < shares.size(); ++i)
            addPoint(overload, position, name, static_cast<double>(i) * 0.25, shares[i]);
        ++position;
    }
    return {loads, overload};
}

} // namespace Bluebellquay
