// Expected run time of one task, learned from observed run times for each branch and kind.
#pragma once

#include "base/coretime.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace Bluebellquay {

class RunTimeEstimates
{
public:
    void record(std::string_view branch, std::string_view kind, Duration runTime);
    // Median of the recent run times; the fallback until enough have been observed.
    Duration expected(std::string_view branch, std::string_view kind, Duration fallback) const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<LogAxis>()));
    struct Entry
    {
        Entry();
        Histogram histogram;
        // Sum of all bins.
        double count = 0;
        // Cached median, zero until enough has been observed.
        Duration median{0};
    };

    static Duration medianOf(const Entry &entry);

    std::map<std::pair<std::string, std::string>, Entry> m_entries;
};

} // namespace Bluebellquay
