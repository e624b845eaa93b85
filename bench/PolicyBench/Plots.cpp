#include "Plots.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace catkinwing::bench {

static constexpr double width = 640;
static constexpr double height = 320;
static constexpr double left = 70;
static constexpr double right = 150;
static constexpr double top = 30;
static constexpr double bottom = 45;
/// The end of a linear axis is a multiple of this.
static constexpr double linearStep = 20;
static constexpr std::array<const char*, 4> colours { "#1b6ca8", "#c0392b", "#7f8c8d", "#27ae60" };

namespace {

    /// Maps values to places along one axis.
    struct Axis {
        double low { 0 };
        double high { 1 };
        bool logarithmic { false };
        double from { 0 };
        double to { 1 };

        double place(double value) const
        {
            double part = logarithmic ? std::log(std::max(value, low) / low) / std::log(high / low) : (value - low) / (high - low);
            return from + part * (to - from);
        }
    };

} // namespace

static std::string number(double value)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.6g", std::round(value * 10) / 10);
    return text.data();
}

static std::string textAt(double x, double y, const std::string& anchor, const std::string& text)
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" text-anchor=\"" + anchor + "\">" + text + "</text>\n";
}

static Axis axisOf(const Plot& plot, bool isX)
{
    Axis axis;
    axis.logarithmic = isX ? plot.logarithmicX : plot.logarithmicY;
    double low = 1e300;
    double high = 0;
    for (const PlotLine& line : plot.lines) {
        for (const auto& [x, y] : line.points) {
            double value = isX ? x : y;
            high = std::max(high, value);
            if (value > 0)
                low = std::min(low, value);
        }
    }
    high = std::max(high, 1e-9);
    axis.low = axis.logarithmic ? std::pow(10, std::floor(std::log10(std::min(low, high)))) : 0;
    axis.high = axis.logarithmic ? std::pow(10, std::ceil(std::log10(high))) : std::ceil(high / linearStep) * linearStep;
    axis.high = std::max(axis.high, axis.low * 10);
    axis.from = isX ? left : height - bottom;
    axis.to = isX ? width - right : top;
    return axis;
}

static std::vector<double> ticksOf(const Axis& axis)
{
    std::vector<double> ticks;
    if (axis.logarithmic) {
        for (double tick = axis.low; tick <= axis.high * 1.001; tick *= 10)
            ticks.push_back(tick);
        return ticks;
    }
    for (int i = 0; i <= 4; ++i)
        ticks.push_back(axis.low + (axis.high - axis.low) * i / 4);
    return ticks;
}

static std::string drawAxes(const Plot& plot, const Axis& x, const Axis& y)
{
    std::string svg;
    for (double tick : ticksOf(x))
        svg += textAt(x.place(tick), height - bottom + 15, "middle", number(tick));
    for (double tick : ticksOf(y)) {
        std::string at = number(y.place(tick));
        svg += "<path d=\"M" + number(left) + " " + at + "H" + number(width - right) + "\" stroke=\"#ddd\"/>\n";
        svg += textAt(left - 6, y.place(tick) + 4, "end", number(tick));
    }
    svg += textAt((left + width - right) / 2, height - 10, "middle", plot.xLabel);
    svg += textAt(6, top - 8, "start", plot.yLabel);
    svg += textAt((left + width - right) / 2, 16, "middle", plot.title);
    return svg;
}

static std::string drawLine(const PlotLine& line, std::size_t index, const Axis& x, const Axis& y)
{
    std::string colour = colours[index % colours.size()];
    std::string path;
    for (const auto& [px, py] : line.points)
        path += (path.empty() ? "M" : "L") + number(x.place(px)) + " " + number(y.place(py));
    std::string svg = "<path d=\"" + path + "\" fill=\"none\" stroke=\"" + colour + "\" stroke-width=\"" + (index == 0 ? "2.5" : "1.2") + "\" stroke-linejoin=\"round\"/>\n";
    double at = top + 18 * static_cast<double>(index + 1);
    svg += "<path d=\"M" + number(width - right + 10) + " " + number(at - 4) + "h18\" stroke=\"" + colour + "\" stroke-width=\"3\"/>\n";
    return svg + textAt(width - right + 33, at, "start", line.name);
}

std::string toSvg(const Plot& plot)
{
    Axis x = axisOf(plot, true);
    Axis y = axisOf(plot, false);
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 640 320\" font-family=\"sans-serif\" font-size=\"11\">\n";
    svg += "<rect width=\"640\" height=\"320\" fill=\"white\"/>\n" + drawAxes(plot, x, y);
    for (std::size_t i = 0; i < plot.lines.size(); ++i)
        svg += drawLine(plot.lines[i], i, x, y);
    return svg + "</svg>\n";
}

} // namespace catkinwing::bench
