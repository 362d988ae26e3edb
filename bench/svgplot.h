// Plots of the policy benchmark, as line charts side by side in one SVG file: request slowdown by
// load, and useful work by time during an overload, for the site and the baselines.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay {

struct PlotSeries
{
    std::string name;
    std::vector<std::pair<double, double>> points;
};

struct PlotPanel
{
    std::string title;
    std::string xLabel;
    // Range of the vertical axis; points above it are drawn at its end.
    double low = 0;
    double high = 1;
    bool logarithmic = false;
    std::vector<PlotSeries> series;
};

// At most four series in each panel.
void writeSvg(std::ostream &out, const std::vector<PlotPanel> &panels);

// Runs the measurements for both charts and returns them.
std::vector<PlotPanel> policyPanels(std::uint64_t seed, bool quick);

} // namespace Bluebellquay
