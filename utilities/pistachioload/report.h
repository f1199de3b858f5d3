#pragma once

#include <string>
#include <vector>

namespace pistachiowalk {

// One line `name: value unit` of a measurement's output.
struct Figure {
  std::string name;
  double value = 0;
  std::string unit;

  friend auto operator<=>(const Figure&, const Figure&) = default;
};

// The figures of a text; other lines are ignored.
std::vector<Figure> ReadFigures(const std::string& text);

// Figures of one measurement in one unit; they share a plot.
struct FigureGroup {
  std::string measurement;
  std::string unit;
  std::vector<Figure> figures;
};

std::vector<FigureGroup> GroupFigures(const std::vector<Figure>& figures);

// An HTML page with a table and a plot for each group.
std::string ReportPage(const std::vector<FigureGroup>& groups);

// The gnuplot script that draws the page's plots as SVG files.
std::string PlotScript(const std::vector<FigureGroup>& groups);

// Reads the measurement outputs `paths` and writes report.html and report.gp
// into `folder`. Returns the exit code.
int RunReport(const std::vector<std::string>& paths, const std::string& folder);

}  // namespace pistachiowalk
