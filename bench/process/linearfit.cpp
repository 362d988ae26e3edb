#include "bench/process/linearfit.h"

#include <cmath>
#include <sstream>

namespace Bluebellquay::Benchmark {

LinearFit LinearFit::through(const std::vector<std::pair<double, double>> &points)
{
    const auto count = static_cast<double>(points.size());
    double meanX = 0;
    double meanY = 0;
    for (const auto &[x, y] : points) {
        meanX += x / count;
        meanY += y / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto &[x, y] : points) {
        covariance += (x - meanX) * (y - meanY);
        variance += (x - meanX) * (x - meanX);
    }
    LinearFit fit;
    fit.slope = covariance / variance;
    fit.intercept = meanY - fit.slope * meanX;
    double squares = 0;
    for (const auto &[x, y] : points)
        squares += std::pow(y - fit.intercept - fit.slope * x, 2);
    fit.residual = std::sqrt(squares / count);
    return fit;
}

std::string LinearFit::toString() const
{
    std::ostringstream text;
    text << "intercept " << intercept << ", slope " << slope << ", residual " << residual;
    return text.str();
}

} // namespace Bluebellquay::Benchmark
