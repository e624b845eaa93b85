#pragma once

#include <string>
#include <vector>

namespace catkinwing::bench {

/// One line of a plot: points from left to right.
struct PlotLine {
    std::string name;
    std::vector<std::pair<double, double>> points;
};

/// What a plot shows.
struct Plot {
    std::string title;
    std::string xLabel;
    std::string yLabel;
    bool logarithmicX { false };
    bool logarithmicY { false };
    std::vector<PlotLine> lines;
};

/// Returns \p plot as a small SVG document.
std::string toSvg(const Plot& plot);

} // namespace catkinwing::bench
