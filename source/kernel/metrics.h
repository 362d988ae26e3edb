// Counters, gauges and histograms of a process, and their Prometheus text form.
#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Bluebellquay {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// A count that never decreases.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { m_value += amount; }
    std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0;
};

class Gauge
{
public:
    void set(double value) { m_value = value; }
    double value() const { return m_value; }

private:
    double m_value = 0;
};

// Distribution of times in seconds, from 10 us to 100 s in logarithmic bins.
class TimeHistogram
{
public:
    TimeHistogram();

    void record(double seconds);
    std::uint64_t count() const { return m_count; }
    double sum() const { return m_sum; }
    // Upper edge of the bin that holds this quantile (0 to 1); zero if nothing was recorded.
    double quantile(double fraction) const;
    // Upper edge and cumulative count of each bin, ascending; the last edge is infinite.
    std::vector<std::pair<double, std::uint64_t>> cumulative() const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<LogAxis>()));

    Histogram m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

// Owns all metrics of a process. References stay valid as long as the registry lives.
class Metrics
{
public:
    // Creates the metric at its first use. Names are those of docs/OPERATIONS.md.
    Counter &counter(std::string_view name, const MetricLabels &labels = {});
    Gauge &gauge(std::string_view name, const MetricLabels &labels = {});
    TimeHistogram &histogram(std::string_view name, const MetricLabels &labels = {});

    // Prometheus text exposition format, version 0.0.4.
    std::string toPrometheusText() const;

private:
    using Key = std::pair<std::string, std::string>; // name, labels in text form
    std::map<Key, Counter> m_counters;
    std::map<Key, Gauge> m_gauges;
    std::map<Key, TimeHistogram> m_histograms;
};

} // namespace Bluebellquay
