#include "kernel/metrics.h"

#include <boost/histogram/indexed.hpp>

#include <cmath>
#include <limits>
#include <set>
#include <sstream>

namespace Bluebellquay {

namespace {

constexpr unsigned TimeBins = 70;     // ten for each decade
constexpr double ShortestTime = 1e-5; // seconds
constexpr double LongestTime = 100;   // seconds

std::string escaped(std::string_view value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            text.push_back('\\');
        if (c == '\n')
            text += "\\n";
        else
            text.push_back(c);
    }
    return text;
}

// "name="value",name="value"" without braces; empty if there are no labels.
std::string labelText(const MetricLabels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        if (!text.empty())
            text.push_back(',');
        text += name + "=\"" + escaped(value) + "\"";
    }
    return text;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

std::string edgeLabel(const std::string &labels, double edge)
{
    std::ostringstream text;
    text << "{" << labels << (labels.empty() ? "" : ",") << "le=\"";
    if (std::isinf(edge))
        text << "+Inf";
    else
        text << edge;
    text << "\"}";
    return text.str();
}

} // namespace

TimeHistogram::TimeHistogram()
    : m_histogram(
        boost::histogram::make_histogram(LogAxis(TimeBins, ShortestTime, LongestTime, "seconds")))
{ }

void TimeHistogram::record(double seconds)
{
    m_histogram(seconds);
    ++m_count;
    m_sum += seconds;
}

std::vector<std::pair<double, std::uint64_t>> TimeHistogram::cumulative() const
{
    std::vector<std::pair<double, std::uint64_t>> bins;
    std::uint64_t below = 0;
    for (auto &&bin : boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
        below += static_cast<std::uint64_t>(*bin);
        bins.emplace_back(bin.bin().upper(), below);
    }
    return bins;
}

double TimeHistogram::quantile(double fraction) const
{
    if (m_count == 0)
        return 0;
    const double wanted = fraction * static_cast<double>(m_count);
    for (const auto &[edge, below] : cumulative()) {
        if (static_cast<double>(below) >= wanted)
            return std::min(edge, LongestTime);
    }
    return LongestTime;
}

Counter &Metrics::counter(std::string_view name, const MetricLabels &labels)
{
    return m_counters[Key(name, labelText(labels))];
}

Gauge &Metrics::gauge(std::string_view name, const MetricLabels &labels)
{
    return m_gauges[Key(name, labelText(labels))];
}

TimeHistogram &Metrics::histogram(std::string_view name, const MetricLabels &labels)
{
    return m_histograms[Key(name, labelText(labels))];
}

std::string Metrics::toPrometheusText() const
{
    std::ostringstream text;
    std::set<std::string> declared;
    const auto declare = [&](const std::string &name, std::string_view type) {
        if (declared.insert(name).second)
            text << "# TYPE " << name << ' ' << type << '\n';
    };
    for (const auto &[key, counter] : m_counters) {
        declare(key.first, "counter");
        text << key.first << braced(key.second) << ' ' << counter.value() << '\n';
    }
    for (const auto &[key, gauge] : m_gauges) {
        declare(key.first, "gauge");
        text << key.first << braced(key.second) << ' ' << gauge.value() << '\n';
    }
    for (const auto &[key, histogram] : m_histograms) {
        declare(key.first, "histogram");
        for (const auto &[edge, below] : histogram.cumulative())
            text << key.first << "_bucket" << edgeLabel(key.second, edge) << ' ' << below << '\n';
        text << key.first << "_sum" << braced(key.second) << ' ' << histogram.sum() << '\n';
        text << key.first << "_count" << braced(key.second) << ' ' << histogram.count() << '\n';
    }
    return text.str();
}

} // namespace Bluebellquay
