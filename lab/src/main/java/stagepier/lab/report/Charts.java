package stagepier.lab.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import stagepier.lab.measure.Series;
import stagepier.lab.scenario.Fault;

/** Draws what a run did by the second, each chart as SVG and PNG. */
final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 300;
    private static final Color[] COLOURS = {
        new Color(0x1f5fa8), new Color(0xc8502a), new Color(0x3a8f4d), new Color(0x8a5bb0), new Color(0x777777)
    };

    /** A line of a chart. */
    private record Line(String name, ToDoubleFunction<Series.Second> value) {}

    private Charts() {}

    /** Writes all charts of a run; returns their names, without ending. */
    static List<String> write(RunResult r, Path folder) throws IOException {
        chart(
                r,
                folder,
                "service",
                "Worth served in time, of what was asked for",
                "share",
                List.of(new Line("service", Series.Second::service)));
        chart(
                r,
                folder,
                "latency",
                "Latency from the planned time of sending",
                "ms",
                List.of(
                        new Line("p50", s -> s.latencyAt(50) / 1e3),
                        new Line("p99", s -> s.latencyAt(99) / 1e3),
                        new Line("p99.9", s -> s.latencyAt(99.9) / 1e3)));
        chart(
                r,
                folder,
                "fates",
                "How requests ended",
                "requests a second",
                List.of(
                        new Line("in time", s -> s.of(Series.RequestOutcome.IN_TIME)),
                        new Line("late", s -> s.of(Series.RequestOutcome.LATE)),
                        new Line("refused", s -> s.of(Series.RequestOutcome.REFUSED)),
                        new Line("failed", s -> s.of(Series.RequestOutcome.FAILED)),
                        new Line("unanswered", s -> s.of(Series.RequestOutcome.UNANSWERED))));
        chart(
                r,
                folder,
                "attempts",
                "Attempts at cache nodes for each request",
                "attempts",
                List.of(new Line("attempts", Series.Second::attempts)));
        double capacity = r.scenario().origin().capacity();
        chart(
                r,
                folder,
                "origin",
                "Load of the origin",
                "fetches a second",
                List.of(
                        new Line("fetches", Series.Second::fetches),
                        new Line("capacity", s -> capacity),
                        new Line("held at nodes", Series.Second::held)));
        return List.of("service", "latency", "fates", "attempts", "origin");
    }

    private static void chart(RunResult r, Path folder, String name, String title, String unit, List<Line> lines)
            throws IOException {
        XYSeriesCollection data = new XYSeriesCollection();
        int until = Math.min(r.series().seconds().size(), (int)
                Math.ceil(r.scenario().demand().seconds()));
        for (Line line : lines) {
            XYSeries one = new XYSeries(line.name());
            for (int i = 0; i < until; i++) {
                one.add(i + 0.5, line.value().applyAsDouble(r.series().seconds().get(i)));
            }
            data.addSeries(one);
        }
        JFreeChart chart = ChartFactory.createXYLineChart(title, "seconds", unit, data);
        chart.setBackgroundPaint(Color.WHITE);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(new Color(0xdddddd));
        plot.setDomainGridlinePaint(new Color(0xeeeeee));
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < lines.size(); i++) {
            renderer.setSeriesPaint(i, COLOURS[i % COLOURS.length]);
            renderer.setSeriesStroke(i, new BasicStroke(2f));
        }
        plot.setRenderer(renderer);
        plot.getRangeAxis().setLowerBound(0);
        for (Fault f : r.scenario().faults()) {
            ValueMarker marker = new ValueMarker(f.at(), new Color(0xaa3333), new BasicStroke(1f));
            marker.setLabel(f.kind().name().toLowerCase(java.util.Locale.ROOT));
            marker.setLabelTextAnchor(org.jfree.chart.ui.TextAnchor.TOP_LEFT);
            plot.addDomainMarker(marker);
        }
        ChartUtils.saveChartAsPNG(folder.resolve(name + ".png").toFile(), chart, WIDTH, HEIGHT);
        SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
        chart.draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        Files.writeString(folder.resolve(name + ".svg"), svg.getSVGDocument());
    }
}
