// Least-squares line through measured points.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay::Benchmark {

struct LinearFit
{
    double slope = 0;
    double intercept = 0;
    // Root of the mean squared distance of the points from the line, in units of y.
    double residual = 0;

    // At least two points with different x.
    static LinearFit through(const std::vector<std::pair<double, double>> &points);
    std::string toString() const;
};

} // namespace Bluebellquay::Benchmark
