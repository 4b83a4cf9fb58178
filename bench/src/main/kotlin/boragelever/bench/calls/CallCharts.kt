package boragelever.bench.calls

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChartBuilder
import java.nio.file.Files
import java.nio.file.Path

private const val WIDTH = 800
private const val HEIGHT = 480
private const val MICROS_PER_MILLI = 1_000.0
private val PERCENTILES = listOf(50.0, 90.0, 99.0)

/** Writes a chart of the latency percentiles of each path into [directory]. */
internal fun writeLatencyChart(report: LatencyReport, directory: Path) {
    System.setProperty("java.awt.headless", "true")
    Files.createDirectories(directory)
    val chart = CategoryChartBuilder()
        .width(WIDTH)
        .height(HEIGHT)
        .title("Latency of a call at 280 calls/s")
        .xAxisTitle("percentile")
        .yAxisTitle("milliseconds")
        .build()
    report.results.forEach { (name, result) ->
        chart.addSeries(
            name,
            PERCENTILES.map { "p%.0f".format(it) },
            PERCENTILES.map {
                result.micros(it) /
                    MICROS_PER_MILLI
            },
        )
    }
    BitmapEncoder.saveBitmap(chart, directory.resolve("calls-latency.png").toString(), BitmapEncoder.BitmapFormat.PNG)
}
