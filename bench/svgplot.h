// Two line charts beside each other as one SVG file: request slowdown over load, and useful work
// through the crest, for the site and the baselines.
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

// Measures and returns both panels.
std::vector<PlotPanel> policyPanels(std::uint64_t seed, bool quick);

} // namespace Bluebellquay
