package stagepier.lab.capacity;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYErrorRenderer;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYIntervalSeries;
import org.jfree.data.xy.XYIntervalSeriesCollection;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Draws each figure over the number of routers: medians with their spread, the fitted line, and the budget. */
public final class CapacityCharts {
    private static final int WIDTH = 720;
    private static final int HEIGHT = 360;
    private static final int STEPS = 200;
    private static final Color MEASURED = new Color(0x1f5fa8);
    private static final Color FITTED = new Color(0x3a8f4d);
    private static final Color BUDGET = new Color(0xc8502a);
    private static final BasicStroke LINE = new BasicStroke(2f);
    private static final BasicStroke DASHED =
            new BasicStroke(1.5f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER, 10f, new float[] {8f, 5f}, 0f);

    private CapacityCharts() {}

    /** Writes a chart for each row and returns the files. */
    public static List<Path> write(CapacityReport report, Path folder) throws IOException {
        Files.createDirectories(folder);
        List<Path> files = new ArrayList<>();
        for (CapacityRow row : report.rows()) {
            String name =
                    row.series().subject().toString().toLowerCase(Locale.ROOT).replaceAll("[ _]", "-");
            Path file = folder.resolve(name + ".svg");
            Files.writeString(file, svg(row, report.target(), name));
            files.add(file);
        }
        return files;
    }

    private static String svg(CapacityRow row, int target, String name) {
        SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
        // The same values give the same file.
        svg.setDefsKeyPrefix(name);
        chart(row, target).draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        return svg.getSVGDocument();
    }

    private static JFreeChart chart(CapacityRow row, int target) {
        Subject subject = row.series().subject();
        NumberAxis across = new NumberAxis("routers");
        NumberAxis up = new NumberAxis(subject.unit());
        XYPlot plot = new XYPlot(null, across, up, null);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(new Color(0xdddddd));
        plot.setDomainGridlinePaint(new Color(0xeeeeee));
        plot.setDataset(0, measured(row.series()));
        plot.setRenderer(0, points());
        XYSeriesCollection lines = new XYSeriesCollection();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        // One path in place of an element for each step.
        renderer.setDrawSeriesLineAsPath(true);
        double until = Math.max(
                target, row.series().sizes().stream().mapToInt(n -> n).max().orElse(0));
        row.choice().chosen().ifPresent(fit -> {
            renderer.setSeriesPaint(lines.getSeriesCount(), FITTED);
            renderer.setSeriesStroke(lines.getSeriesCount(), LINE);
            lines.addSeries(fitted(fit, row.series().sizes().get(0), until));
        });
        row.budget().filter(b -> !b.isNoGrowth()).ifPresent(budget -> {
            renderer.setSeriesPaint(lines.getSeriesCount(), BUDGET);
            renderer.setSeriesStroke(lines.getSeriesCount(), DASHED);
            XYSeries line = new XYSeries("budget " + budget.text());
            line.add(0, budget.limit());
            line.add(until, budget.limit());
            lines.addSeries(line);
        });
        plot.setDataset(1, lines);
        plot.setRenderer(1, renderer);
        across.setLowerBound(0);
        up.setAutoRangeIncludesZero(true);
        JFreeChart chart = new JFreeChart(subject + " (" + CapacityText.growth(row.choice()) + ")", plot);
        chart.setBackgroundPaint(Color.WHITE);
        return chart;
    }

    private static XYIntervalSeriesCollection measured(FigureSeries series) {
        XYIntervalSeries points = new XYIntervalSeries("measured: median, lowest, highest");
        series.bySize()
                .forEach(size -> points.add(
                        size.routers(), size.routers(), size.routers(), size.median(), size.lowest(), size.highest()));
        XYIntervalSeriesCollection all = new XYIntervalSeriesCollection();
        all.addSeries(points);
        return all;
    }

    private static XYErrorRenderer points() {
        XYErrorRenderer renderer = new XYErrorRenderer();
        renderer.setDrawXError(false);
        renderer.setSeriesPaint(0, MEASURED);
        return renderer;
    }

    private static XYSeries fitted(Fit fit, double from, double until) {
        XYSeries line = new XYSeries("fit: " + fit.model().word());
        for (int i = 0; i <= STEPS; i++) {
            double routers = from + (until - from) * i / STEPS;
            line.add(routers, fit.at(routers));
        }
        return line;
    }
}
