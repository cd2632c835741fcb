#ifndef SKYLARKBRIDGE_BENCH_REQUEST_REPORT_HPP
#define SKYLARKBRIDGE_BENCH_REQUEST_REPORT_HPP

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

/// @brief Markdown tables and an SVG plot of measurements over several seeds.
namespace skylarkbridge::bench {

/// @brief One value per seed.
using samples = std::vector<double>;

inline double Median(samples values) {
  std::ranges::sort(values);
  return values.empty() ? 0 : values[values.size() / 2];
}

inline std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), value < 10 ? "%.3f" : "%.1f", value);
  return text;
}

/// @brief "median (least to greatest)".
inline std::string Format(const samples& values) {
  const auto [least, greatest] = std::ranges::minmax(values);
  return Number(Median(values)) + " (" + Number(least) + " to " +
         Number(greatest) + ")";
}

inline void PrintRow(const std::vector<std::string>& cells) {
  for (const std::string& cell : cells) {
    std::printf("| %s ", cell.c_str());
  }
  std::printf("|\n");
}

inline void PrintHeader(const std::string& title,
                        const std::vector<std::string>& cells) {
  std::printf("\n## %s\n\n", title.c_str());
  PrintRow(cells);
  PrintRow(std::vector<std::string>(cells.size(), "---"));
}

/// @brief One bar of a plot with its range over the seeds.
struct bar {
  std::string label;
  samples values;
};

/// @brief A group of bars with a scale of its own.
struct panel {
  std::string title;
  std::vector<bar> bars;
};

/// @brief Writes horizontal bars, one panel below the other. Returns whether
/// the file could be written.
inline bool WriteSvg(const std::string& path,
                     const std::vector<panel>& panels) {
  constexpr int kWidth = 860;
  constexpr int kLeft = 330;
  constexpr int kRow = 22;
  int height = 10;
  for (const panel& each : panels) {
    height += 34 + kRow * static_cast<int>(each.bars.size());
  }
  std::FILE* file = std::fopen(path.c_str(), "w");
  if (file == nullptr) {
    return false;
  }
  std::fprintf(file,
               "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
               "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
               "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
               kWidth, height);
  int y = 10;
  for (const panel& each : panels) {
    double most = 0;
    for (const bar& one : each.bars) {
      most = std::max(most, std::ranges::max(one.values));
    }
    const double scale = (kWidth - kLeft - 160) / (most > 0 ? most : 1);
    std::fprintf(file,
                 "<text x=\"10\" y=\"%d\" font-weight=\"bold\">%s</text>\n",
                 y + 16, each.title.c_str());
    y += 26;
    for (const bar& one : each.bars) {
      const auto [least, greatest] = std::ranges::minmax(one.values);
      std::fprintf(
          file,
          "<text x=\"10\" y=\"%d\">%s</text>"
          "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"14\" "
          "fill=\"#4878a8\"/>"
          "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%d\" y2=\"%d\" "
          "stroke=\"black\" stroke-width=\"2\"/>"
          "<text x=\"%.1f\" y=\"%d\">%s</text>\n",
          y + 12, one.label.c_str(), kLeft, y, Median(one.values) * scale,
          kLeft + least * scale, kLeft + greatest * scale, y + 7, y + 7,
          kLeft + greatest * scale + 6, y + 12, Format(one.values).c_str());
      y += kRow;
    }
    y += 8;
  }
  std::fprintf(file, "</svg>\n");
  return std::fclose(file) == 0;
}

}  // namespace skylarkbridge::bench

#endif  // SKYLARKBRIDGE_BENCH_REQUEST_REPORT_HPP
