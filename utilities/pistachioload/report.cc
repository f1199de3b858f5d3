#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace pistachiowalk {
namespace {

std::string PlotFile(const FigureGroup& group) {
  std::string name = group.measurement + "-" + group.unit + ".svg";
  std::replace(name.begin(), name.end(), '/', '-');
  return name;
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '<') {
      escaped += "&lt;";
    } else if (c == '&') {
      escaped += "&amp;";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

// Text between double quotes of a gnuplot script.
std::string QuotePlotText(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c != '"' && c != '\\' && c != '\n') {
      quoted += c;
    }
  }
  return quoted + '"';
}

}  // namespace

std::vector<Figure> ReadFigures(const std::string& text) {
  std::vector<Figure> figures;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    std::istringstream fields(line);
    Figure figure;
    if (fields >> figure.name >> figure.value >> figure.unit &&
        figure.name.ends_with(':')) {
      figure.name.pop_back();
      figures.push_back(std::move(figure));
    }
  }
  return figures;
}

std::vector<FigureGroup> GroupFigures(const std::vector<Figure>& figures) {
  std::vector<FigureGroup> groups;
  for (const Figure& figure : figures) {
    const std::string measurement =
        figure.name.substr(0, figure.name.find('.'));
    auto it = std::find_if(
        groups.begin(), groups.end(), [&](const FigureGroup& group) {
          return group.measurement == measurement && group.unit == figure.unit;
        });
    if (it == groups.end()) {
      groups.push_back({measurement, figure.unit, {}});
      it = groups.end() - 1;
    }
    it->figures.push_back(figure);
  }
  return groups;
}

std::string ReportPage(const std::vector<FigureGroup>& groups) {
  std::string page =
      "<!doctype html>\n<meta charset=\"utf-8\">\n<title>pistachiowalk "
      "measurements</title>\n<h1>pistachiowalk measurements</h1>\n";
  for (const FigureGroup& group : groups) {
    page += fmt::format("<h2>{} ({})</h2>\n<table>\n",
                        EscapeHtml(group.measurement), EscapeHtml(group.unit));
    for (const Figure& figure : group.figures) {
      page += fmt::format("<tr><td>{}</td><td>{}</td></tr>\n",
                          EscapeHtml(figure.name), figure.value);
    }
    page +=
        fmt::format("</table>\n<img src=\"{}\" alt=\"plot of {}\">\n",
                    EscapeHtml(PlotFile(group)), EscapeHtml(group.measurement));
  }
  return page;
}

std::string PlotScript(const std::vector<FigureGroup>& groups) {
  std::string script =
      "set terminal svg size 900,420\nset style fill solid 0.6\n"
      "set boxwidth 0.7\nset xtics rotate by -30 noenhanced\nset yrange [0:*]\n"
      "unset key\n";
  for (const FigureGroup& group : groups) {
    script += fmt::format("$data << END\n");
    for (const Figure& figure : group.figures) {
      const std::string key = figure.name.substr(
          std::min(group.measurement.size() + 1, figure.name.size()));
      script += fmt::format("{} {}\n", QuotePlotText(key), figure.value);
    }
    script += fmt::format(
        "END\nset output {}\nset ylabel {} noenhanced\nset title {} "
        "noenhanced\nplot $data using 0:2:xtic(1) with boxes\n",
        QuotePlotText(PlotFile(group)), QuotePlotText(group.unit),
        QuotePlotText(group.measurement));
  }
  return script;
}

int RunReport(const std::vector<std::string>& paths,
              const std::string& folder) {
  std::vector<Figure> figures;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "pistachioload report: " << path << ": cannot be read\n";
      return 1;
    }
    std::ostringstream text;
    text << file.rdbuf();
    for (Figure& figure : ReadFigures(text.str())) {
      figures.push_back(std::move(figure));
    }
  }
  if (figures.empty()) {
    std::cerr << "pistachioload report: no lines `name: value unit` found\n";
    return 1;
  }
  const std::vector<FigureGroup> groups = GroupFigures(figures);
  std::ofstream page(folder + "/report.html");
  page << ReportPage(groups);
  std::ofstream script(folder + "/report.gp");
  script << PlotScript(groups);
  if (!page.flush() || !script.flush()) {
    std::cerr << "pistachioload report: " << folder << ": cannot be written\n";
    return 1;
  }
  return 0;
}

}  // namespace pistachiowalk
